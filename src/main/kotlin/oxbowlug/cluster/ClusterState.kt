package oxbowlug.cluster

import org.slf4j.LoggerFactory
import oxbowlug.cache.CachedJob
import oxbowlug.cache.DependencyState
import oxbowlug.cache.StateCache
import oxbowlug.config.Team
import oxbowlug.fencing.CommandBatch
import oxbowlug.fencing.FencingTokenRange
import oxbowlug.forecast.DemandForecast
import oxbowlug.invariant.Invariants
import oxbowlug.port.Clock
import oxbowlug.timing.Timing
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineId
import oxbowlug.wire.TeamName
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat

/**
 * The leader's consistent view of jobs, machines and task attempts. This class alone owns that state.
 * [JobReconciliation] and [HeartbeatReconciliation] update it, [WorkerCommands] reads it. An attempt is removed only on
 * one of the proofs in docs/safety.md that it isn't running. Missing heartbeats, a refused connection, or absence from
 * a recently requested machine list, which may lag, are no proof.
 */
internal class ClusterState(
    val tokens: FencingTokenRange,
    private val clock: Clock,
    private val timing: Timing,
    val forecast: DemandForecast,
    /** Images by machine, as an earlier leader sent them. They only influence prices, since they may be out of date. */
    private val initialImages: Map<MachineId, List<ImageName>> = emptyMap(),
    teams: Map<TeamName, Team> = emptyMap(),
    /** Whether a job with these predecessors may start, by their committed records. */
    dependencyState: (List<JobId>) -> DependencyState = { DependencyState.READY },
    invariants: Invariants,
) {
    private val quotas = TeamQuotas(teams, timing)
    private val jobReconciliation = JobReconciliation(this, clock, timing, dependencyState)
    private val heartbeatReconciliation = HeartbeatReconciliation(this, clock, timing, quotas, invariants)
    private val forgetCommands = ForgetCommands(tokens) { jobs[it.task.job]?.mayBeStored(it) ?: false }
    private val workerCommands = WorkerCommands(this, timing, quotas, forgetCommands)
    val jobs = LinkedHashMap<JobId, Job>()
    val machines = LinkedHashMap<MachineId, Machine>()

    /** Machines that the cloud released, lists as failed or no longer lists. Late heartbeats from them are ignored. */
    private val removedMachines = HashSet<MachineId>()

    /** Whether something changed since the last plan that a new plan could use. The planning loop clears it. */
    var needsReplan = true

    /** Machines whose commands changed and are to be sent by a direct call, before the worker's next heartbeat. */
    val commandQueue = LinkedHashSet<MachineId>()

    /** Jobs that differ from their stored records. Without this set, every heartbeat would need a scan of all jobs. */
    val dirtyJobs = LinkedHashSet<Job>()

    /** Whether some job may still have an attempt on a removed machine. */
    var mayHaveOrphans = false

    fun isRemoved(id: MachineId): Boolean = id in removedMachines

    /** The machine with this id, which is added when it isn't known yet; null if the machine was removed. */
    fun machine(id: MachineId): Machine? {
        if (id in removedMachines) return null
        return machines.getOrPut(id) {
            Machine(id, clock.steadyMs(), tokens.first).also { initialImages[id].orEmpty().forEach(it::addImage) }
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

    /** Removes attempts that were never stored, so no start of them was sent. Returns how many there were. */
    fun withdrawUncommitted(job: Job): Int {
        val uncommitted = job.attempts.values.filter { !it.isCommitted }
        uncommitted.forEach(::removeAttempt)
        return uncommitted.size
    }

    /** Creates an attempt of [task] on [machine]. Its start isn't sent before the job's record is stored. */
    fun place(
        job: Job,
        task: Int,
        machine: Machine,
    ) {
        // A job that started before its predecessors are committed as done would run even if one of them were
        // cancelled instead.
        check(job.readyMs != null) { "job ${job.id} can't be placed before its predecessors are done" }
        val attempt = job.place(task, machine.id, clock.steadyMs())
        machine.attempts[attempt.id] = attempt
        machine.idleSince = null
    }

    /** Requests the stop of [attempt]. If its task is only being moved, [moveTarget] is the machine it moves to. */
    fun stop(
        attempt: TaskAttempt,
        reason: StopReason,
        moveTarget: MachineId? = null,
    ) {
        attempt.stopReason = reason
        attempt.moveTarget = moveTarget
        val machine = machines[attempt.machine]
        stopOrRemove(machine, attempt)
    }

    /** Queues a direct command that stops [attempt], or removes [attempt] if it can't exist on [machine]. */
    fun stopOrRemove(
        machine: Machine?,
        attempt: TaskAttempt,
    ) {
        val mayExist = machine != null && attempt.isCommitted && machine.mayHold(attempt, tokens)
        if (mayExist) commandQueue.add(attempt.machine) else removeAttempt(attempt)
    }

    /**
     * Removes an attempt that no longer exists or never started, so that its task can be placed again. The call needs
     * one of the four proofs of docs/safety.md, so only this class and the reconciliations make it.
     */
    fun removeAttempt(attempt: TaskAttempt) {
        val now = clock.steadyMs()
        if (attempt.moveTarget != null) attempt.job.movingUntil = now + timing.movingMs
        if (attempt.job.attempts[attempt.task] === attempt) quotas.subtract(attempt.job.spec.team, attempt.job.need)
        attempt.job.removeAttempt(attempt.task, now)
        machines[attempt.machine]?.attempts?.remove(attempt.id)
        needsReplan = true
    }

    /** See [HeartbeatReconciliation.apply]. */
    fun applyHeartbeat(
        heartbeat: WorkerHeartbeat,
        isHeartbeat: Boolean,
    ): Machine? = heartbeatReconciliation.apply(heartbeat, isHeartbeat)

    /** See [WorkerCommands.inAnswer]. Notes that the returned token is sent to the worker. */
    fun commandsInAnswer(
        machine: Machine,
        now: Long,
    ): CommandBatch {
        val batch = workerCommands.inAnswer(machine, now)
        machine.issuedToken.raiseTo(batch.token, now, timing.tokenAdvanceIntervalMs)
        return batch
    }

    /** See [WorkerCommands.direct]. */
    fun directCommands(
        machine: Machine,
        now: Long,
    ): List<WorkerCommand> = workerCommands.direct(machine, now)

    /** See [WorkerCommands.stopsForCancelledJobs]. */
    fun stopsForCancelledJobs(machine: Machine): List<WorkerCommand> = workerCommands.stopsForCancelledJobs(machine)

    /**
     * Proof 4 of docs/safety.md: the lease of the worker's current incarnation has expired, and no controller with
     * another token can have renewed it. Removes the machine's attempts. Returns whether this call ended the lease.
     */
    fun expireLease(
        machine: Machine,
        now: Long,
    ): Boolean {
        if (machine.isLeaseExpired ||
            machine.token !in tokens ||
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
        machine.directStarts.onIncarnationEnded()
        machine.tasks = emptyMap()
        for (attempt in machine.attempts.values.toList()) {
            attempt.startSentInAnswerTo = null
            removeAttempt(attempt)
        }
        needsReplan = true
        return true
    }

    /** Proofs 2 and 3 of docs/safety.md: the cloud released the machine, lists it as failed, or no longer lists it. */
    fun removeMachine(
        id: MachineId,
        reason: RemovalReason,
    ) {
        removedMachines.add(id)
        mayHaveOrphans = true
        val machine = machines[id] ?: return
        log.info("machine removed: machine={} reason={} attempts={}", id, reason, machine.attempts.size)
        for (attempt in machine.attempts.values.toList()) removeAttempt(attempt)
        machines.remove(id)
        needsReplan = true
    }

    /** Removes attempts on machines that were removed before, by proof 2 or 3. */
    fun removeOrphans() {
        if (!mayHaveOrphans) return
        mayHaveOrphans = false
        for (job in jobs.values) {
            for (attempt in job.attempts.values.toList()) if (attempt.machine in removedMachines) removeAttempt(attempt)
        }
    }

    /**
     * Removes final jobs whose records are stored. A job stays until [cache] has the version of this leader's last
     * write: an older change event would add the job again.
     */
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
