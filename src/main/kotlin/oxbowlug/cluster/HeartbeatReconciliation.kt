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
 * Reconciles the cluster state of a machine with what its worker reports: proof 1 of docs/safety.md, the worker's
 * own word that an attempt is gone.
 */
internal class HeartbeatReconciliation(
    private val cluster: ClusterState,
    private val clock: Clock,
    private val timing: Timing,
    private val quotas: TeamQuotas,
    private val invariants: Invariants,
) {
    /**
     * Applies one heartbeat, or the answer to a direct command if [isHeartbeat] is false: such an answer renews no
     * lease. Returns the machine that sent it, or null if the machine was removed.
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
            // A duplicate of an older heartbeat renews nothing and proves nothing.
            if (position <= machine.lastHeartbeatPosition) return machine
            machine.lastHeartbeatPosition = position
            machine.lease.onRenewed(now)
        }
        if (position <= machine.position) return machine
        if (heartbeat.incarnation > machine.position.incarnation || heartbeat.token > machine.token) {
            // Direct commands carry incarnation and token, so those of an earlier one can't be executed any more.
            machine.unresolvedStarts.clear()
        }
        val firstHeard = machine.lastContactAt == null
        update(machine, heartbeat, position, now)
        if (firstHeard) cluster.needsReplan = true
        applyTasks(machine, position, isHeartbeat, now)
        return machine
    }

    private fun update(
        machine: Machine,
        heartbeat: WorkerHeartbeat,
        position: HeartbeatPosition,
        now: Long,
    ) {
        machine.position = position
        machine.token = heartbeat.token
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
        val settled = machine.hasAcknowledgedToken(cluster.token)
        for (attempt in machine.attempts.values.toList()) {
            val reported = machine.tasks[attempt.id]
            if (reported != null) {
                attempt.startAnsweredAt = null
                attempt.isInherited = false
                machine.unresponsiveUntil = 0L
                applyTaskStatus(machine, attempt, reported, now)
                continue
            }
            applyAbsence(machine, attempt, position, isHeartbeat, now)
        }
        for (task in machine.tasks.values) {
            if (task.attempt in machine.attempts) continue
            adoptUnknownResult(task, now)
            if (settled) requireOnePlace(machine, task)
        }
    }

    /** The machine's newest heartbeat doesn't name [attempt]: gone, not yet started, or its start was lost. */
    private fun applyAbsence(
        machine: Machine,
        attempt: TaskAttempt,
        position: HeartbeatPosition,
        isHeartbeat: Boolean,
        now: Long,
    ) {
        val settled = machine.hasAcknowledgedToken(cluster.token)
        val isAbsent = settled && attempt.isInherited
        if (settled) attempt.isInherited = false
        val answered = attempt.startAnsweredAt
        // One heartbeat is in flight at a time: after a newer one, an older answer is executed or dropped for good.
        if (isHeartbeat && answered != null && position > answered) attempt.startAnsweredAt = null
        attempt.workerState = null
        if (machine.mayBeThere(attempt, cluster.token)) return
        if (!attempt.isWanted || isAbsent && quotas.isOverQuota(attempt.job.spec.team, cluster.jobs.values, now)) {
            // The former leader saw it end and gave its quota to others, but ended before it had stored the end.
            cluster.remove(attempt)
        } else if (isHeartbeat && attempt.isOverdue(now, timing.workerLeaseTtlMs)) {
            // Its heartbeats arrive, but our commands don't reach it: the work goes elsewhere.
            log.info("start not acted on: machine={} attempt={}", machine.id, attempt.id)
            machine.unresponsiveUntil = now + timing.unresponsiveMs
            cluster.remove(attempt)
        }
    }

    /** An attempt that was removed, by a proof, must not turn up beside the attempt that was placed after it. */
    private fun requireOnePlace(
        machine: Machine,
        task: TaskStatus,
    ) {
        if (task.state != TaskState.RUNNING) return
        val attempt = cluster.jobs[task.attempt.task.job]?.attempts?.get(task.attempt.task.index) ?: return
        if (attempt.machine == machine.id || attempt.workerState != TaskState.RUNNING) return
        val what = "${task.attempt} runs on ${machine.id} and ${attempt.id} on ${attempt.machine}"
        invariants.recordViolation(Invariant.ONE_MACHINE_PER_TASK, what)
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
            machine.images.remove(job.spec.image)
            machine.images.add(job.spec.image)
        }
        attempt.workerState = reported.state
        if (reported.state != TaskState.EXITED) return
        when (reported.cause) {
            ExitCause.DONE -> {
                machine.images.add(job.spec.image)
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
        cluster.remove(attempt)
    }

    /** A result of an attempt that was removed before: it counts if its task isn't placed again. */
    private fun adoptUnknownResult(
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
