package oxbowlug.leader

import oxbowlug.cache.StateCache
import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.HeartbeatPosition
import oxbowlug.commit.JobRecordWriter
import oxbowlug.config.Settings
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

/** All that a controller has while it leads: everything here ends with its term. */
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
            leadership.token,
            clock,
            timing,
            DemandForecast(settings, timing.arrivalWindowMs),
            rememberedImages,
            settings.teams,
            cache::dependencyState,
            invariants,
        )
    val delegates = LeaseRenewalDelegates(leadership, settings, state, clock, timing, cache)
    private val commits =
        JobRecordWriter(leadership, requestIds, settings, state, clock, timing, writeBudget, cache, cluster, decisions)
    private val scaler = MachineScaler(requestIds, settings, cloud, clock, timing, cloudBudget, cluster, decisions)
    private val round = SchedulingRound(settings, clock, timing, cluster, scaler, termStartedAt) { cache.writableFormat }
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
            settings.limits.maxSockets / PROPAGATION_SOCKET_SHARE,
            formerLeaderMayAnswer,
        )

    val isDeposed: Boolean get() = commits.isDeposed
    val commitBacklog: Int get() = commits.backlog
    val waitingTasks: Int get() = planning.waitingTasks

    init {
        cache.forEachActive { id, stored -> stored.value?.let { cluster.applyJob(id, stored, it) } }
    }

    /** Large records are looked for once, when a lease's time has passed: a new leader has more urgent things to do. */
    private var divideLargeRecordsAt = termStartedAt + timing.workerLeaseTtlMs

    private fun divideLargeRecordsWhenDue(now: Long) {
        val isDue = now >= divideLargeRecordsAt && cache.writableFormat == WritableFormat.HEAD_AND_PARTS
        if (!isDue) return
        divideLargeRecordsAt = Long.MAX_VALUE
        if (settings.state.next != null) splitLargeRecords()
    }

    /**
     * Records that were written whole and are larger than values may be soon are written anew, the largest first, as
     * the least urgent of all writes.
     */
    fun splitLargeRecords() {
        val limit = settings.state.lowest.valueKb * BYTES_PER_KB
        val now = clock.steadyMs()
        // What was too large to be written whole may be written in parts at once.
        for (job in cluster.jobs.values) job.writeNotBefore = now
        cluster.jobs.values
            .map { job -> job to if (job.storedParts.isEmpty()) job.record("").encode().sizeAsJson() else 0 }
            .filter { (_, bytes) -> bytes > limit }
            .sortedByDescending { (_, bytes) -> bytes }
            .forEach { (job, _) -> job.rewrite(now) }
    }

    private var lastHeartbeatAt: Long? = null

    /** Workers sent heartbeats in this term, and for some time none does: either all hang, or we are cut off. */
    fun hasLostAllWorkers(now: Long): Boolean {
        val last = lastHeartbeatAt ?: return false
        val expected = cluster.machines.values.any { it.lastContactAt != null && !it.isReleasing }
        return expected && now - last > timing.resignAfterSilenceMs
    }

    /**
     * The commands for a heartbeat under our lead, to which [WorkerLeaseRenewals] adds the stops of cancelled work.
     * Null: the machine or its incarnation is gone, and nothing may renew it.
     */
    fun onHeartbeat(heartbeat: WorkerHeartbeat): List<WorkerCommand>? {
        val machine = cluster.applyHeartbeat(heartbeat, isHeartbeat = true) ?: return null
        lastHeartbeatAt = clock.steadyMs()
        // A duplicate that came late, or our proof was wrong: renewed, the incarnation would live on with all attempts
        // that were removed with it and that nobody stops there.
        if (machine.lease.hasEnded(heartbeat.incarnation)) return null
        if (!decisions.mayLead) return emptyList()
        val position = HeartbeatPosition(heartbeat.incarnation, heartbeat.sequence)
        // The answer to a duplicate goes nowhere; it must not look as if the worker had been told.
        if (position < machine.lastHeartbeatPosition) return emptyList()
        val commands = checks.dropUnstoredStarts(machine, cluster.commands(machine, clock.steadyMs()))
        if (position == machine.position) checks.requireStopsOfCancelledWork(heartbeat, commands)
        for (command in commands) {
            if (command !is WorkerCommand.Start) continue
            machine.attempts[command.attempt]?.markStartSentInAnswer(position, clock.steadyMs())
        }
        return commands
    }

    /** One periodic step, in this order: leases end before machines are released and work is placed. */
    fun tick(types: Map<TypeName, MachineType>) {
        val now = clock.steadyMs()
        delegates.tick(now)
        supervisor.tick(types, planning.reserved, now)
        cluster.removeOrphans()
        divideLargeRecordsWhenDue(now)
        tokenPropagation.tick(now)
        scaler.tick(types)
        planning.tick(types, now)
        flush()
        cluster.removeFinishedJobs(cache)
    }

    /**
     * What a leader without the state service still has to do: end cancelled work, by the release of its machines if
     * need be. It decides nothing else.
     */
    fun endCancelledWork() {
        val now = clock.steadyMs()
        supervisor.endCancelledWork(now)
        cluster.removeOrphans()
        scaler.sendDueReleases()
        flush()
    }

    /** Sends what the last batch changed; without the right to decide, only that cancelled work is to end. */
    fun flush() {
        if (decisions.mayLead) commits.flush()
        directCommands.flush(clock.steadyMs())
    }

    private companion object {
        const val BYTES_PER_KB = 1024

        /** Machines that can't be reached hold a socket each until the call is given up. */
        const val PROPAGATION_SOCKET_SHARE = 16
    }
}
