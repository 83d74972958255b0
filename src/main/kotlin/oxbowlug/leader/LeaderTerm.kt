package oxbowlug.leader

import oxbowlug.cache.StateCache
import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.HeartbeatPosition
import oxbowlug.commit.JobRecordWriter
import oxbowlug.config.Settings
import oxbowlug.fencing.CommandBatch
import oxbowlug.forecast.DemandForecast
import oxbowlug.invariant.Invariants
import oxbowlug.lease.LeaseRenewalDelegates
import oxbowlug.lease.WorkerLeaseRenewals
import oxbowlug.port.Clock
import oxbowlug.port.CloudPort
import oxbowlug.port.StatePort
import oxbowlug.port.WorkerPort
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.RequestIds
import oxbowlug.record.WritableFormat
import oxbowlug.scaling.MachineScaler
import oxbowlug.scaling.PendingRental
import oxbowlug.scheduling.SchedulingRound
import oxbowlug.timing.Timing
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.ImageName
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.TypeName
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.sizeAsJson

/** The state and components of a controller during one term as leader. All of it is discarded when the term ends. */
internal class LeaderTerm(
    val leadership: LeadershipRecord,
    requestIds: RequestIds,
    private val settings: Settings,
    state: StatePort,
    cloud: CloudPort,
    workers: WorkerPort,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
    invariants: Invariants,
    writeBudget: TokenBucket,
    cloudBudget: TokenBucket,
    load: ControllerLoad,
    rememberedImages: Map<MachineId, List<ImageName>>,
    formerLeaderMayAnswer: () -> Boolean,
) {
    private val decisions = invariants.decisions
    private val termStartedAt = clock.steadyMs()
    val cluster =
        ClusterState(
            leadership.tokens,
            clock,
            timing,
            DemandForecast(settings, timing.arrivalWindowMs),
            rememberedImages,
            settings.teams,
            cache::dependencyState,
            invariants,
        )
    val delegates = LeaseRenewalDelegates(leadership, settings, state, clock, timing, cache)
    private val recordWriter =
        JobRecordWriter(leadership, requestIds, settings, state, clock, timing, writeBudget, cache, cluster, decisions)
    private val scaler = MachineScaler(requestIds, settings, cloud, clock, timing, cloudBudget, cluster, decisions)
    private val round =
        SchedulingRound(settings, clock, timing, cluster, scaler, termStartedAt) { cache.writableFormat }
    private val planning = PlanningLoop(cluster, round, settings, clock, timing, load, decisions, termStartedAt)
    private val supervisor =
        MachineSupervisor(cluster, delegates, scaler, round, settings, timing, decisions, termStartedAt)
    private val checks = CommandChecks(cache, invariants)
    private val directCommands = DirectCommands(cluster, workers, clock, timing, decisions, checks)
    private val tokenPropagation =
        FencingTokenPropagation(
            cluster,
            workers,
            timing,
            termStartedAt,
            settings.limits.maxSockets / PROPAGATION_SOCKET_DIVISOR,
            formerLeaderMayAnswer,
        )

    val isDeposed: Boolean get() = recordWriter.isDeposed
    val commitBacklog: Int get() = recordWriter.backlog
    val waitingTasks: Int get() = planning.waitingTasks
    val lastPlanSize: PlanSize get() = planning.lastSize
    val pendingRentals: List<PendingRental> get() = scaler.pendingRentals
    val requestedMachines: Long get() = scaler.requestedMachines
    val directStarts: Int get() = cluster.machines.values.sumOf { it.directStarts.size }
    val tokenAdvances: Long get() = cluster.machines.values.sumOf { it.issuedToken.advances }

    init {
        cache.forEachActive { id, stored -> stored.value?.let { cluster.applyJob(id, stored, it) } }
    }

    /**
     * Large records are searched for once in a term, one worker lease after its start: until then a new leader has more
     * urgent work.
     */
    private var splitLargeRecordsAt = termStartedAt + timing.workerLeaseTtlMs

    private fun splitLargeRecordsIfDue(now: Long) {
        val isDue = now >= splitLargeRecordsAt && cache.writableFormat == WritableFormat.HEAD_AND_PARTS
        if (!isDue) return
        splitLargeRecordsAt = Long.MAX_VALUE
        if (settings.state.next != null) splitLargeRecords()
    }

    /**
     * Rewrites records that are stored as a single value larger than the lower of the present and the next value limit,
     * the largest first. These writes are the least urgent of all.
     */
    fun splitLargeRecords() {
        val limit = settings.state.lowest.valueKb * BYTES_PER_KB
        val now = clock.steadyMs()
        // Records that were too large for a single value can now be written in parts without further delay.
        for (job in cluster.jobs.values) job.writeNotBefore = now
        cluster.jobs.values
            .map { job -> job to if (job.storedParts.isEmpty()) job.record("").encode().sizeAsJson() else 0 }
            .filter { (_, bytes) -> bytes > limit }
            .sortedByDescending { (_, bytes) -> bytes }
            .forEach { (job, _) -> job.rewrite(now) }
    }

    private var lastHeartbeatAt: Long? = null

    /**
     * Whether workers sent heartbeats in this term, but none for [Timing.resignAfterSilenceMs]: then either all workers
     * hang, or this controller is partitioned from them.
     */
    fun hasLostAllWorkers(now: Long): Boolean {
        val last = lastHeartbeatAt ?: return false
        val isAnyExpected = cluster.machines.values.any { it.lastContactAt != null && !it.isReleasing }
        return isAnyExpected && now - last > timing.resignAfterSilenceMs
    }

    /**
     * Applies a heartbeat and returns the token and the commands for its response, to which [WorkerLeaseRenewals] adds
     * the stops of cancelled work. Returns null if the machine or its incarnation is gone: its lease must not be
     * renewed.
     */
    fun onHeartbeat(heartbeat: WorkerHeartbeat): CommandBatch? {
        val machine = cluster.applyHeartbeat(heartbeat, isHeartbeat = true) ?: return null
        lastHeartbeatAt = clock.steadyMs()
        // Either the heartbeat is a late duplicate, or the lease was wrongly taken for expired. If the lease were
        // renewed, the incarnation would keep running attempts that were removed with it, and nothing would stop them.
        if (machine.lease.hasEnded(heartbeat.incarnation)) return null
        val renewalOnly = CommandBatch(machine.issuedToken.value, emptyList())
        if (!decisions.mayLead) return renewalOnly
        val position = HeartbeatPosition(heartbeat.incarnation, heartbeat.sequence)
        // The worker discards the response to a duplicate, so no start may be recorded as sent with it.
        if (position < machine.lastHeartbeatPosition) return renewalOnly
        val batch = cluster.commandsInAnswer(machine, clock.steadyMs())
        val commands = checks.dropUnstoredStarts(machine, batch.commands)
        if (position == machine.position) checks.requireStopsOfCancelledWork(heartbeat, commands)
        for (command in commands) {
            if (command !is WorkerCommand.Start) continue
            machine.attempts[command.attempt]?.markStartSentInAnswer(position, clock.steadyMs())
        }
        CommandLog.attemptsForgotten(machine, batch.token, commands, "answer")
        return batch.copy(commands = commands)
    }

    /** One periodic step. The order matters: leases are expired before machines are released and tasks are placed. */
    fun tick(types: Map<TypeName, MachineType>) {
        val now = clock.steadyMs()
        delegates.tick(now)
        supervisor.tick(types, planning.reserved, now)
        cluster.removeOrphans()
        splitLargeRecordsIfDue(now)
        tokenPropagation.tick(now)
        scaler.tick(types)
        planning.tick(types, now)
        flush()
        cluster.removeFinishedJobs(cache)
    }

    /**
     * The periodic step of a leader that can't reach the state service: it may only end cancelled work, if necessary by
     * releasing the machines that hold it, and decides nothing else.
     */
    fun endCancelledWork() {
        val now = clock.steadyMs()
        supervisor.endCancelledWork(now)
        cluster.removeOrphans()
        scaler.sendDueReleases()
        flush()
    }

    /**
     * Sends the record writes and direct commands that follow from the last batch of events; without a valid leadership
     * lease only the stops of cancelled work.
     */
    fun flush() {
        if (decisions.mayLead) recordWriter.flush()
        directCommands.flush(clock.steadyMs())
    }

    private companion object {
        const val BYTES_PER_KB = 1024

        /** The part of all sockets for token propagation: a call to an unreachable machine holds one until it fails. */
        const val PROPAGATION_SOCKET_DIVISOR = 16
    }
}
