package oxbowlug.cluster

import oxbowlug.record.Phase
import oxbowlug.timing.Timing
import oxbowlug.wire.AttemptId
import oxbowlug.wire.TaskState
import oxbowlug.wire.TaskStatus
import oxbowlug.wire.WorkerCommand

/**
 * What a worker should be told, computed afresh from what is wanted and what it last reported. Changes neither jobs nor
 * machines.
 */
internal class WorkerCommands(
    private val cluster: ClusterState,
    private val timing: Timing,
    private val quotas: TeamQuotas,
) {
    /** All commands for [machine]. Starts only of attempts whose record is stored. */
    fun of(
        machine: Machine,
        now: Long,
    ): List<WorkerCommand> {
        val result = ArrayList<WorkerCommand>()
        for (attempt in machine.attempts.values) {
            val reported = machine.tasks[attempt.id]
            when {
                reported == null -> if (attempt.isCommitted) addStart(machine, attempt, now, result)
                reported.state == TaskState.EXITED -> Unit
                !attempt.isWanted -> stopOf(attempt, reported)?.let(result::add)
            }
        }
        for (task in machine.tasks.values) {
            if (task.attempt in machine.attempts) continue
            when {
                task.state != TaskState.EXITED -> result.add(WorkerCommand.Stop(task.attempt, 0.0))
                mayForget(machine, task.attempt) -> result.add(WorkerCommand.Forget(task.attempt))
            }
        }
        return result
    }

    /** All that may be said without the right to decide: a cancelled job's tasks have to end, whoever leads. */
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
            // Its next heartbeat will show our token, and then it is settled whether this one is still to run.
            val waits = attempt.isInherited && quotas.isOverQuota(attempt.job.spec.team, cluster.jobs.values, now)
            if (!waits) result.add(WorkerCommand.Start(attempt.id))
            return
        }
        // A direct start may still be on its way, and a stop alone would be too early for it. Started and stopped
        // at once, the attempt stays known as exited, and the late copy has no effect.
        val cancelledAt = attempt.job.cancelledAt
        val inTime = cancelledAt == null || now < cancelledAt + timing.cancelReleaseAfterMs / 2
        if (attempt.id in machine.unresolvedStarts && inTime) {
            result.add(WorkerCommand.Start(attempt.id))
            result.add(WorkerCommand.Stop(attempt.id, 0.0))
        }
    }

    private fun stopOf(
        attempt: TaskAttempt,
        reported: TaskStatus,
    ): WorkerCommand? {
        val spec = attempt.job.spec
        if (attempt.job.phase != Phase.ACTIVE) return WorkerCommand.Stop(attempt.id, 0.0)
        if (reported.state == TaskState.SAVING) return null
        return WorkerCommand.Stop(attempt.id, if (spec.savesWork) spec.saveS else 0.0)
    }

    /** Forgetting makes a repeated start effective again, so no start of the attempt may be on its way. */
    private fun mayForget(
        machine: Machine,
        attempt: AttemptId,
    ): Boolean {
        if (attempt in machine.unresolvedStarts || attempt in machine.directStartsInFlight) return false
        val job = cluster.jobs[attempt.task.job] ?: return true
        return !job.isStored(attempt)
    }
}
