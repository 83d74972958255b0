package oxbowlug.cluster

import org.slf4j.LoggerFactory
import oxbowlug.config.Address
import oxbowlug.invariant.Invariants
import oxbowlug.port.Clock
import oxbowlug.port.Invariant
import oxbowlug.record.Phase
import oxbowlug.timing.Timing
import oxbowlug.wire.ExitCause
import oxbowlug.wire.TaskState
import oxbowlug.wire.TaskStatus
import oxbowlug.wire.WorkerHeartbeat

/**
 * Reconciles the leader's state of a machine with the heartbeats of its worker. A heartbeat that shows an attempt to be
 * gone is proof 1 of docs/safety.md.
 */
internal class HeartbeatReconciliation(
    private val cluster: ClusterState,
    private val clock: Clock,
    private val timing: Timing,
    private val quotas: TeamQuotas,
    private val invariants: Invariants,
) {
    /**
     * Applies a heartbeat or, if [isHeartbeat] is false, the answer to a direct command, which renews no lease. Returns
     * the machine whose worker sent it, or null if the machine was removed.
     */
    fun apply(
        heartbeat: WorkerHeartbeat,
        isHeartbeat: Boolean,
    ): Machine? {
        val machine = cluster.machine(heartbeat.machine) ?: return null
        val now = clock.steadyMs()
        val position = HeartbeatPosition(heartbeat.incarnation, heartbeat.sequence)
        if (machine.lease.hasEnded(heartbeat.incarnation)) {
            log.info("heartbeat of an ended incarnation: machine={} incarnation={}", machine.id, heartbeat.incarnation)
            return machine
        }
        machine.lease.onIncarnationObserved(heartbeat.incarnation, now)
        if (isHeartbeat) {
            // A late duplicate of an older heartbeat renews no lease and proves nothing.
            if (position <= machine.lastHeartbeatPosition) return machine
            machine.lastHeartbeatPosition = position
            machine.lease.onRenewed(now)
        }
        // The answer to a direct command has already brought a newer report.
        if (position <= machine.position) return machine
        machine.directStarts.onReport(heartbeat.incarnation, heartbeat.token)
        val isFirstContact = machine.lastContactAt == null
        updateMachine(machine, heartbeat, position, now)
        if (isFirstContact) cluster.needsReplan = true
        applyTasks(machine, position, isHeartbeat, now)
        return machine
    }

    private fun updateMachine(
        machine: Machine,
        heartbeat: WorkerHeartbeat,
        position: HeartbeatPosition,
        now: Long,
    ) {
        machine.position = position
        machine.token = heartbeat.token
        if (heartbeat.token in cluster.tokens) {
            machine.issuedToken.raiseTo(heartbeat.token, now, timing.tokenAdvanceIntervalMs)
        }
        machine.lastContactAt = now
        machine.isLeaseExpired = false
        machine.type = heartbeat.type
        machine.zone = heartbeat.zone
        machine.spot = heartbeat.spot
        machine.endpoint = Address.parse(heartbeat.endpoint)
        machine.noticeUntil = heartbeat.interruptionNoticeS?.let { now + (it * 1000).toLong() }
        machine.tasks = heartbeat.tasks.associateBy { it.attempt }
    }

    private fun applyTasks(
        machine: Machine,
        position: HeartbeatPosition,
        isHeartbeat: Boolean,
        now: Long,
    ) {
        val hasCurrentToken = machine.hasAcknowledgedToken(cluster.tokens)
        for (attempt in machine.attempts.values.toList()) {
            val reported = machine.tasks[attempt.id]
            if (reported != null) {
                attempt.startSentInAnswerTo = null
                attempt.isInherited = false
                machine.unresponsiveUntil = 0L
                applyTaskStatus(machine, attempt, reported, now)
                continue
            }
            onAttemptNotReported(machine, attempt, position, isHeartbeat, now)
        }
        for (task in machine.tasks.values) {
            if (task.attempt in machine.attempts) continue
            applyUntrackedResult(task, now)
            if (hasCurrentToken) checkSinglePlacement(machine, task)
        }
    }

    /** The newest report of the machine lacks [attempt]: it has ended, hasn't started yet, or its start was lost. */
    private fun onAttemptNotReported(
        machine: Machine,
        attempt: TaskAttempt,
        position: HeartbeatPosition,
        isHeartbeat: Boolean,
        now: Long,
    ) {
        val hasCurrentToken = machine.hasAcknowledgedToken(cluster.tokens)
        val wasInherited = hasCurrentToken && attempt.isInherited
        if (hasCurrentToken) attempt.isInherited = false
        val answeredPosition = attempt.startSentInAnswerTo
        // A worker has one heartbeat in flight at a time: when it sends the next, it has either executed the start in
        // the answer to the one before, or never will.
        if (isHeartbeat && answeredPosition != null && position > answeredPosition) attempt.startSentInAnswerTo = null
        attempt.workerState = null
        if (machine.mayHold(attempt, cluster.tokens)) return
        if (!attempt.isWanted || wasInherited && quotas.isOverQuota(attempt.job.spec.team, cluster.jobs.values, now)) {
            // An inherited attempt over quota: the former leader saw its end and gave its quota to another attempt, but
            // terminated before it stored the end.
            cluster.removeAttempt(attempt)
        } else if (isHeartbeat && attempt.isStartOverdue(now, timing.workerLeaseTtlMs)) {
            // The worker's heartbeats arrive, but the start doesn't reach it, so the task is placed elsewhere.
            log.info("start not acted on: machine={} attempt={}", machine.id, attempt.id)
            machine.unresponsiveUntil = now + timing.unresponsiveMs
            cluster.removeAttempt(attempt)
        }
    }

    /** Checks that no task runs on two machines: its earlier attempt was removed on a proof that it had ended. */
    private fun checkSinglePlacement(
        machine: Machine,
        task: TaskStatus,
    ) {
        if (task.state != TaskState.RUNNING) return
        val attempt = cluster.jobs[task.attempt.task.job]?.attempts?.get(task.attempt.task.index) ?: return
        if (attempt.machine == machine.id || attempt.workerState != TaskState.RUNNING) return
        val violation = "${task.attempt} runs on ${machine.id} and ${attempt.id} on ${attempt.machine}"
        invariants.recordViolation(Invariant.ONE_MACHINE_PER_TASK, violation)
    }

    private fun applyTaskStatus(
        machine: Machine,
        attempt: TaskAttempt,
        reported: TaskStatus,
        now: Long,
    ) {
        val job = attempt.job
        if (reported.state == TaskState.RUNNING && attempt.workerState != TaskState.RUNNING) {
            attempt.runningSince = now
            machine.onImageUsed(job.spec.image)
        }
        attempt.workerState = reported.state
        if (reported.state != TaskState.EXITED) return
        when (reported.cause) {
            ExitCause.DONE -> {
                machine.addImage(job.spec.image)
                machine.failedJobs.clear()
                job.failures = 0
                job.markDone(attempt.task, now)
            }
            ExitCause.STOPPED -> Unit
            ExitCause.ERROR -> FailureBackoff.onError(machine, job, now, timing)
            ExitCause.FULL, ExitCause.BUSY, ExitCause.UNKNOWN, ExitCause.PEERS_GONE, ExitCause.ALONE,
            ExitCause.OTHER, null,
            -> {
                log.info("start refused: machine={} attempt={} reason={}", machine.id, attempt.id, reported.cause)
                FailureBackoff.onRefused(machine, job, now, timing)
            }
        }
        cluster.removeAttempt(attempt)
    }

    /** The result of an attempt that was removed before counts, unless its task has a new attempt. */
    private fun applyUntrackedResult(
        task: TaskStatus,
        now: Long,
    ) {
        if (task.state != TaskState.EXITED || task.cause != ExitCause.DONE) return
        val job = cluster.jobs[task.attempt.task.job] ?: return
        val index = task.attempt.task.index
        if (job.phase != Phase.ACTIVE || index >= job.spec.tasks || job.done.get(index) || index in job.attempts) return
        job.markDone(index, now)
        cluster.needsReplan = true
    }

    private companion object {
        val log = LoggerFactory.getLogger("cluster")
    }
}
