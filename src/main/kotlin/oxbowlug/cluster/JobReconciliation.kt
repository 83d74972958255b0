package oxbowlug.cluster

import org.slf4j.LoggerFactory
import oxbowlug.cache.CachedJob
import oxbowlug.cache.DependencyState
import oxbowlug.port.Clock
import oxbowlug.record.JobRecord
import oxbowlug.record.Phase
import oxbowlug.timing.Timing
import oxbowlug.wire.JobId

/** Reconciles the leader's jobs with what the state service holds: writes of other controllers, and predecessors. */
internal class JobReconciliation(
    private val cluster: ClusterState,
    private val clock: Clock,
    private val timing: Timing,
    private val dependencyState: (List<JobId>) -> DependencyState,
) {
    /** Applies a stored job record: a new job, or a write of another controller. Older versions have no effect. */
    fun apply(
        id: JobId,
        stored: CachedJob,
        value: Map<String, Any?>,
    ) {
        val job = cluster.jobs[id]
        when {
            job == null -> if (stored.value != null) addJob(id, stored, value)
            stored.version > job.version -> updateJob(job, stored, value)
        }
    }

    private fun addJob(
        id: JobId,
        stored: CachedJob,
        value: Map<String, Any?>,
    ) {
        val now = clock.steadyMs()
        val record = JobRecord.decode(value)
        val job = Job(record, stored.version, cluster.dirtyJobs::add)
        if (record.phase == Phase.CANCELLED) job.cancelledAt = cancelledAt(record, now)
        cluster.jobs[id] = job
        // Jobs that wait for others are known to come; they aren't guessed at.
        if (job.spec.dependsOn.isEmpty()) cluster.forecast.add(job.spec, job.submittedMs)
        job.restoreAttempts(record)
        attachAttempts(job)
        applyDependencyState(job, now)
        cluster.needsReplan = true
    }

    private fun updateJob(
        job: Job,
        stored: CachedJob,
        value: Map<String, Any?>,
    ) {
        val now = clock.steadyMs()
        val old = job.attempts.values.toList()
        val wasActive = job.phase == Phase.ACTIVE
        val record = JobRecord.decode(value)
        if (job.applyForeignWrite(record, stored.version, now)) {
            cluster.hasOrphans = true
            for (attempt in old) cluster.machines[attempt.machine]?.attempts?.remove(attempt.id)
            attachAttempts(job)
        }
        if (job.phase == Phase.CANCELLED) {
            if (wasActive) onCancelled(job, record, now)
            stopCancelledAttempts(job)
        }
        cluster.needsReplan = true
    }

    private fun onCancelled(
        job: Job,
        record: JobRecord,
        now: Long,
    ) {
        if (job.spec.dependsOn.isEmpty()) cluster.forecast.remove(job.spec, clock.wallMs())
        val since = cancelledAt(record, now)
        job.cancelledAt = since
        log.info(
            "job cancelled: job={} revision={} elapsedMs={} attempts={}",
            job.id,
            job.version,
            now - since,
            job.attempts.size,
        )
    }

    /** A predecessor is done or cancelled. */
    fun onDependencyChanged(id: JobId) {
        cluster.jobs[id]?.let { applyDependencyState(it, clock.steadyMs()) }
        cluster.needsReplan = true
    }

    private fun applyDependencyState(
        job: Job,
        now: Long,
    ) {
        if (job.spec.dependsOn.isEmpty() || job.phase != Phase.ACTIVE) return
        when (dependencyState(job.spec.dependsOn)) {
            DependencyState.READY -> if (job.readyMs == null) job.readyMs = clock.wallMs()
            DependencyState.CANCELLED -> job.cancelByPredecessor(now, clock.wallMs())
            DependencyState.WAITING -> Unit
        }
    }

    /** Counted from when its user was told, not from when this leader learned of it: it may have been elected since. */
    private fun cancelledAt(
        record: JobRecord,
        now: Long,
    ): Long {
        val ageMs = record.cancelledMs?.let { clock.wallMs() - it } ?: 0
        return now - ageMs.coerceIn(0, timing.cancelDeadlineMs)
    }

    private fun attachAttempts(job: Job) {
        for (attempt in job.attempts.values.toList()) {
            val machine = cluster.machine(attempt.machine)
            if (machine == null) cluster.remove(attempt) else machine.attempts[attempt.id] = attempt
        }
    }

    private fun stopCancelledAttempts(job: Job) {
        for (attempt in job.attempts.values.toList()) {
            val machine = cluster.machines[attempt.machine]
            cluster.removeOrPush(machine, attempt)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cluster")
    }
}
