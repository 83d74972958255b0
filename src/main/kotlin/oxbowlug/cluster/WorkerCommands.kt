package oxbowlug.cluster

import oxbowlug.fencing.CommandBatch
import oxbowlug.record.Phase
import oxbowlug.timing.Timing
import oxbowlug.wire.TaskState
import oxbowlug.wire.TaskStatus
import oxbowlug.wire.WorkerCommand

/**
 * The commands that a worker should get, computed anew from the wanted attempts and the worker's newest report. Changes
 * neither jobs nor machines.
 */
internal class WorkerCommands(
    private val cluster: ClusterState,
    private val timing: Timing,
    private val quotas: TeamQuotas,
    private val forgetCommands: ForgetCommands,
) {
    /** All commands for the worker of [machine], to be sent in the answer to its heartbeat. */
    fun inAnswer(
        machine: Machine,
        now: Long,
    ): CommandBatch {
        val forgets = forgetCommands.inAnswer(machine, now)
        return CommandBatch(forgets.token, startsAndStops(machine, now) + forgets.commands)
    }

    /** All commands for the worker of [machine] that can be sent directly, with the token that it was last sent. */
    fun direct(
        machine: Machine,
        now: Long,
    ): List<WorkerCommand> = startsAndStops(machine, now) + forgetCommands.underIssuedToken(machine)

    /** Attempts are started only after they were stored. */
    private fun startsAndStops(
        machine: Machine,
        now: Long,
    ): List<WorkerCommand> {
        val result = ArrayList<WorkerCommand>()
        for (attempt in machine.attempts.values) {
            val reported = machine.tasks[attempt.id]
            when {
                reported == null -> if (attempt.isCommitted) addStart(machine, attempt, now, result)
                reported.state == TaskState.EXITED -> Unit
                !attempt.isWanted -> stopCommand(attempt, reported)?.let(result::add)
            }
        }
        // Attempts that the worker reports, but the leader has removed or never had on this machine.
        for (task in machine.tasks.values) {
            if (task.attempt in machine.attempts || task.state == TaskState.EXITED) continue
            result.add(WorkerCommand.Stop(task.attempt, 0.0))
        }
        return result
    }

    /**
     * The stops of cancelled jobs' attempts. A controller without a valid leadership lease may send them too, since the
     * tasks of a cancelled job have to end whichever controller leads.
     */
    fun stopsForCancelledJobs(machine: Machine): List<WorkerCommand> =
        machine.attempts.values
            .filter { it.job.phase == Phase.CANCELLED }
            .filter { it.workerState != null && it.workerState != TaskState.EXITED }
            .map { WorkerCommand.Stop(it.id, 0.0) }

    private fun addStart(
        machine: Machine,
        attempt: TaskAttempt,
        now: Long,
        result: ArrayList<WorkerCommand>,
    ) {
        if (attempt.isWanted) {
            // Over quota, the attempt may have ended under the former leader. The worker's next heartbeat has the
            // current token and so shows whether the attempt still exists; the start is deferred until then.
            val isDeferred = attempt.isInherited && quotas.isOverQuota(attempt.job.spec.team, cluster.jobs.values, now)
            if (!isDeferred) result.add(WorkerCommand.Start(attempt.id))
            return
        }
        // A direct start may still be in flight, and a stop that arrives before it has no effect. Given a start and a
        // stop together, the worker keeps the attempt as exited, so the late start has no effect. Both are sent only in
        // the first half of the time after which the machine is released for holding cancelled work.
        val cancelledAt = attempt.job.cancelledAt
        val isEarlyEnough = cancelledAt == null || now < cancelledAt + timing.cancelReleaseAfterMs / 2
        if (machine.directStarts.mayBePending(attempt.id) && isEarlyEnough) {
            result.add(WorkerCommand.Start(attempt.id))
            result.add(WorkerCommand.Stop(attempt.id, 0.0))
        }
    }

    private fun stopCommand(
        attempt: TaskAttempt,
        reported: TaskStatus,
    ): WorkerCommand? {
        val spec = attempt.job.spec
        if (attempt.job.phase != Phase.ACTIVE) return WorkerCommand.Stop(attempt.id, 0.0)
        // The worker is stopping the attempt already.
        if (reported.state == TaskState.SAVING) return null
        return WorkerCommand.Stop(attempt.id, if (spec.savesWork) spec.saveS else 0.0)
    }
}
