package oxbowlug.cluster

import org.slf4j.LoggerFactory
import oxbowlug.cache.CachedJob
import oxbowlug.cache.DependencyState
import oxbowlug.cache.StateCache
import oxbowlug.config.Team
import oxbowlug.forecast.DemandForecast
import oxbowlug.invariant.Invariants
import oxbowlug.port.Clock
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
 * [JobReconciliation],
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
    dependencyState: (List<JobId>) -> DependencyState = { DependencyState.READY },
    invariants: Invariants,
) {
    private val quotas = TeamQuotas(teams, timing)
    private val jobReconciliation = JobReconciliation(this, clock, timing, dependencyState)
    private val reconciliation = HeartbeatReconciliation(this, clock, timing, quotas, invariants)
    private val commands = WorkerCommands(this, timing, quotas)
    val jobs = LinkedHashMap<JobId, Job>()
    val machines = LinkedHashMap<MachineId, Machine>()

    /** Released, failed or no longer listed: late messages of theirs are not believed any more. */
    private val removed = HashSet<MachineId>()

    /** Something changed that a new plan could use; cleared by whoever plans. */
    var needsReplan = true

    /** Machines whose commands changed and that should be sent them directly, before their next heartbeat. */
    val commandQueue = LinkedHashSet<MachineId>()

    /** Jobs that differ from what is stored: looked for among all jobs, they would cost a scan for every heartbeat. */
    val dirtyJobs = LinkedHashSet<Job>()

    /** An attempt may be held on a machine that is gone. */
    var hasOrphans = false

    fun isRemoved(id: MachineId): Boolean = id in removed

    /** The machine, created at its first mention; null if it was removed. */
    fun machine(id: MachineId): Machine? {
        if (id in removed) return null
        return machines.getOrPut(id) {
            Machine(id, clock.steadyMs()).also { it.images.addAll(rememberedImages[id].orEmpty()) }
        }
    }

    /** See [JobReconciliation.apply]. */
    fun applyJob(
        id: JobId,
        stored: CachedJob,
        value: Map<String, Any?>,
    ) = jobReconciliation.apply(id, stored, value)

    /** See [JobReconciliation.onDependencyChanged]. */
    fun onDependencyChanged(id: JobId) = jobReconciliation.onDependencyChanged(id)

    /** Placements that were never written, so no start of them was sent; returns how many. */
    fun withdrawUncommitted(job: Job): Int {
        val uncommitted = job.attempts.values.filter { !it.isCommitted }
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

    /** Has [attempt] stopped; [moveTarget] is where its task is to go on, if it is only moved. */
    fun stop(
        attempt: TaskAttempt,
        reason: StopReason,
        moveTarget: MachineId? = null,
    ) {
        attempt.stopReason = reason
        attempt.moveTarget = moveTarget
        val machine = machines[attempt.machine]
        removeOrPush(machine, attempt)
    }

    /** Its worker has to be told to stop it, unless it surely isn't there. */
    fun removeOrPush(
        machine: Machine?,
        attempt: TaskAttempt,
    ) {
        val there = machine != null && attempt.isCommitted && machine.mayBeThere(attempt, token)
        if (there) commandQueue.add(attempt.machine) else remove(attempt)
    }

    /**
     * The attempt is gone, or was never there: its task may be placed again. Only the four proofs of docs/safety.md
     * may lead here, and so only this class and the reconciliations call it.
     */
    fun remove(attempt: TaskAttempt) {
        val now = clock.steadyMs()
        if (attempt.moveTarget != null) attempt.job.movingUntil = now + timing.movingMs
        if (attempt.job.attempts[attempt.task] === attempt) quotas.freed(attempt.job.spec.team, attempt.job.need)
        attempt.job.removeAttempt(attempt.task, now)
        machines[attempt.machine]?.attempts?.remove(attempt.id)
        needsReplan = true
    }

    /** See [HeartbeatReconciliation.apply]. */
    fun applyHeartbeat(
        heartbeat: WorkerHeartbeat,
        isHeartbeat: Boolean,
    ): Machine? = reconciliation.apply(heartbeat, isHeartbeat)

    /** See [WorkerCommands.of]. */
    fun commands(
        machine: Machine,
        now: Long,
    ): List<WorkerCommand> = commands.of(machine, now)

    /** See [WorkerCommands.stopsForCancelledJobs]. */
    fun stopsForCancelledJobs(machine: Machine): List<WorkerCommand> = commands.stopsForCancelledJobs(machine)

    /** Proof 4: the present incarnation's lease is over, and no other token can have renewed it. */
    fun expireLease(
        machine: Machine,
        now: Long,
    ): Boolean {
        if (machine.isLeaseExpired ||
            machine.token != token ||
            !machine.lease.isExpired(now, timing.workerLeaseExpiryMs)
        ) {
            return false
        }
        log.info(
            "lease expired: machine={} incarnation={} countedMs={} attempts={}",
            machine.id,
            machine.position.incarnation,
            machine.lease.ttlStartMs?.let { now - it },
            machine.attempts.size,
        )
        machine.isLeaseExpired = true
        machine.lease.endIncarnation()
        machine.unresolvedStarts.clear()
        machine.tasks = emptyMap()
        for (attempt in machine.attempts.values.toList()) {
            attempt.startAnsweredAt = null
            remove(attempt)
        }
        needsReplan = true
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
        needsReplan = true
    }

    /** Attempts on machines that an earlier proof removed. */
    fun removeOrphans() {
        if (!hasOrphans) return
        hasOrphans = false
        for (job in jobs.values) {
            for (attempt in job.attempts.values.toList()) if (attempt.machine in removed) remove(attempt)
        }
    }

    /** Not before the state cache has caught up with our last write: an older event would add the job again. */
    fun removeFinishedJobs(cache: StateCache) {
        jobs.values.removeIf { job ->
            job.phase.isFinal &&
                job.attempts.isEmpty() &&
                job.dirtySince == null &&
                !job.isWriting &&
                (cache.job(job.id)?.version ?: 0) >= job.version
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cluster")
    }
}
