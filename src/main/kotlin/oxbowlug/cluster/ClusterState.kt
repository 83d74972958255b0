package oxbowlug.cluster

import org.slf4j.LoggerFactory
import oxbowlug.cache.CachedJob
import oxbowlug.cache.DependencyState
import oxbowlug.cache.StateCache
import oxbowlug.config.Team
import oxbowlug.forecast.DemandForecast
import oxbowlug.invariant.Invariants
import oxbowlug.port.Clock
import oxbowlug.record.JobRecord
import oxbowlug.record.Phase
import oxbowlug.timing.Timing
import oxbowlug.wire.FencingToken
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineId
import oxbowlug.wire.TeamName
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat

/**
 * Jobs and machines as their leader knows them, kept in step. This class is the only owner of that state;
 * [HeartbeatReconciliation] and [WorkerCommands] work on it. An attempt is removed only by one of the proofs in
 * docs/safety.md; silence, a refused connection or a recent list of machines prove nothing.
 */
internal class ClusterState(
    val token: FencingToken,
    private val clock: Clock,
    private val timing: Timing,
    val forecast: DemandForecast,
    /** Images by machine as an earlier leader told them: a hint for prices, never a fact. */
    private val rememberedImages: Map<MachineId, List<ImageName>> = emptyMap(),
    teams: Map<TeamName, Team> = emptyMap(),
    /** What a job's predecessors mean for it, as committed. */
    private val dependencyState: (List<JobId>) -> DependencyState = { DependencyState.READY },
    invariants: Invariants,
) {
    private val quotas = TeamQuotas(teams, timing)
    private val reconciliation = HeartbeatReconciliation(this, clock, timing, quotas, invariants)
    private val commands = WorkerCommands(this, timing, quotas)
    val jobs = LinkedHashMap<JobId, Job>()
    val machines = LinkedHashMap<MachineId, Machine>()

    /** Released, failed or no longer listed: late messages of theirs are not believed any more. */
    private val removed = HashSet<MachineId>()

    /** Something changed that a new plan could use; cleared by whoever plans. */
    var planWanted = true

    /** Machines whose commands changed and that should be sent them directly, before their next heartbeat. */
    val pendingPushes = LinkedHashSet<MachineId>()

    /** Jobs that differ from what is stored: looked for among all jobs, they would cost a scan for every heartbeat. */
    val dirty = LinkedHashSet<Job>()

    /** An attempt may be held on a machine that is gone. */
    private var hasOrphans = false

    fun isRemoved(id: MachineId): Boolean = id in removed

    /** The machine, created at its first mention; null if it was removed. */
    fun machine(id: MachineId): Machine? {
        if (id in removed) return null
        return machines.getOrPut(id) {
            Machine(id, clock.steadyMs()).also { it.images.addAll(rememberedImages[id].orEmpty()) }
        }
    }

    /** Applies a stored job record: a new job, or a write of another controller. Older versions have no effect. */
    fun applyJob(
        id: JobId,
        stored: CachedJob,
        value: Map<String, Any?>,
    ) {
        val job = jobs[id]
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
        val job = Job(record, stored.version, dirty::add)
        if (record.phase == Phase.CANCELLED) job.cancelledAt = cancelledAt(record, now)
        jobs[id] = job
        // Jobs that wait for others are known to come; they aren't guessed at.
        if (job.spec.dependsOn.isEmpty()) forecast.add(job.spec, job.submittedMs)
        job.restoreAttempts(record)
        attachAttempts(job)
        applyDependencyState(job, now)
        planWanted = true
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
            hasOrphans = true
            for (attempt in old) machines[attempt.machine]?.attempts?.remove(attempt.id)
            attachAttempts(job)
        }
        if (job.phase == Phase.CANCELLED) {
            if (wasActive) onCancelled(job, record, now)
            stopCancelledAttempts(job)
        }
        planWanted = true
    }

    private fun onCancelled(
        job: Job,
        record: JobRecord,
        now: Long,
    ) {
        if (job.spec.dependsOn.isEmpty()) forecast.leave(job.spec, clock.wallMs())
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
        jobs[id]?.let { applyDependencyState(it, clock.steadyMs()) }
        planWanted = true
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
        return now - ageMs.coerceIn(0, timing.cancelMs)
    }

    private fun attachAttempts(job: Job) {
        for (attempt in job.attempts.values.toList()) {
            val machine = machine(attempt.machine)
            if (machine == null) remove(attempt) else machine.attempts[attempt.id] = attempt
        }
    }

    private fun stopCancelledAttempts(job: Job) {
        for (attempt in job.attempts.values.toList()) {
            val machine = machines[attempt.machine]
            removeOrPush(machine, attempt)
        }
    }

    /** Placements that were never written, so no start of them was sent; returns how many. */
    fun withdrawUncommitted(job: Job): Int {
        val uncommitted = job.attempts.values.filter { !it.committed }
        uncommitted.forEach(::remove)
        return uncommitted.size
    }

    /** Creates an attempt. It is not started before its job's record is stored. */
    fun place(
        job: Job,
        task: Int,
        machine: Machine,
    ) {
        // Started before its predecessors' ends are committed, it would run even if one of them is cancelled instead.
        check(job.readyMs != null) { "${job.id} waits for other jobs" }
        val attempt = job.place(task, machine.id, clock.steadyMs())
        machine.attempts[attempt.id] = attempt
        machine.idleSince = null
    }

    /** Has [attempt] stopped; [target] is where its task is to go on, if it is only moved. */
    fun stop(
        attempt: TaskAttempt,
        reason: StopReason,
        target: MachineId? = null,
    ) {
        attempt.stopReason = reason
        attempt.target = target
        val machine = machines[attempt.machine]
        removeOrPush(machine, attempt)
    }

    private fun removeOrPush(
        machine: Machine?,
        attempt: TaskAttempt,
    ) {
        val there = machine != null && attempt.committed && machine.mayBeThere(attempt, token)
        if (there) pendingPushes.add(attempt.machine) else remove(attempt)
    }

    /**
     * The attempt is gone, or was never there: its task may be placed again. Only the four proofs of docs/safety.md
     * may lead here, and so only this class and [HeartbeatReconciliation] call it.
     */
    fun remove(attempt: TaskAttempt) {
        val now = clock.steadyMs()
        if (attempt.target != null) attempt.job.movingUntil = now + timing.movingMs
        if (attempt.job.attempts[attempt.task] === attempt) quotas.freed(attempt.job.spec.team, attempt.job.need)
        attempt.job.drop(attempt.task, now)
        machines[attempt.machine]?.attempts?.remove(attempt.id)
        planWanted = true
    }

    /** See [HeartbeatReconciliation.apply]. */
    fun applyHeartbeat(
        report: WorkerHeartbeat,
        isHeartbeat: Boolean,
    ): Machine? = reconciliation.apply(report, isHeartbeat)

    /** See [WorkerCommands.of]. */
    fun commands(
        machine: Machine,
        now: Long,
    ): List<WorkerCommand> = commands.of(machine, now)

    /** See [WorkerCommands.cancelledStops]. */
    fun cancelledStops(machine: Machine): List<WorkerCommand> = commands.cancelledStops(machine)

    /** Proof 4: the present incarnation's lease is over, and no other token can have renewed it. */
    fun expire(
        machine: Machine,
        now: Long,
    ): Boolean {
        if (machine.isLeaseExpired ||
            machine.token != token ||
            !machine.lease.isExpired(now, timing.workerExpiryMs)
        ) {
            return false
        }
        log.info(
            "lease expired: machine={} incarnation={} countedMs={} attempts={}",
            machine.id,
            machine.position.incarnation,
            machine.lease.countsFromMs?.let { now - it },
            machine.attempts.size,
        )
        machine.isLeaseExpired = true
        machine.lease.end()
        machine.unresolvedStarts.clear()
        machine.tasks = emptyMap()
        for (attempt in machine.attempts.values.toList()) {
            attempt.startAnsweredAt = null
            remove(attempt)
        }
        planWanted = true
        return true
    }

    /** Proofs 2 and 3: the cloud released it, lists it as failed, or lists it no more. */
    fun removeMachine(
        id: MachineId,
        reason: RemovalReason,
    ) {
        removed.add(id)
        hasOrphans = true
        val machine = machines[id] ?: return
        log.info("machine removed: machine={} reason={} attempts={}", id, reason, machine.attempts.size)
        for (attempt in machine.attempts.values.toList()) remove(attempt)
        machines.remove(id)
        planWanted = true
    }

    /** Attempts on machines that an earlier proof removed. */
    fun removeOrphans() {
        if (!hasOrphans) return
        hasOrphans = false
        for (job in jobs.values) {
            for (attempt in job.attempts.values.toList()) if (attempt.machine in removed) remove(attempt)
        }
    }

    /** Not before the state cache has caught up with our last write: an older event would bring the job back to life. */
    fun forgetFinished(cache: StateCache) {
        jobs.values.removeIf { job ->
            job.phase.isFinal &&
                job.attempts.isEmpty() &&
                job.dirtySince == null &&
                !job.isWriting &&
                (cache.job(job.id)?.version ?: 0) >= job.version
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("fleet")
    }
}
