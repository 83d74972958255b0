package oxbowlug.leader

import org.slf4j.LoggerFactory
import oxbowlug.cache.StateCache
import oxbowlug.cache.cancelledWork
import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.HeartbeatPosition
import oxbowlug.cluster.Machine
import oxbowlug.cluster.StopReason
import oxbowlug.cluster.ZoneLiveness
import oxbowlug.commit.JobRecordWriter
import oxbowlug.config.Settings
import oxbowlug.forecast.DemandForecast
import oxbowlug.invariant.Invariants
import oxbowlug.lease.LeaseRenewalDelegates
import oxbowlug.lease.WorkerLeaseRenewals
import oxbowlug.lease.notAmong
import oxbowlug.plan.Plan
import oxbowlug.plan.Planner
import oxbowlug.plan.Pricing
import oxbowlug.plan.Snapshot
import oxbowlug.port.Clock
import oxbowlug.port.CloudPort
import oxbowlug.port.DirectOutcome
import oxbowlug.port.Invariant
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
import oxbowlug.wire.MachineState
import oxbowlug.wire.MachineType
import oxbowlug.wire.TaskState
import oxbowlug.wire.TypeName
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.sizeAsJson

/** What a leader has beside its model: everything here ends with its view. */
internal class LeaderTerm(
    val leadership: LeadershipRecord,
    requestIds: RequestIds,
    private val settings: Settings,
    state: StatePort,
    cloud: CloudPort,
    private val workers: WorkerPort,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
    private val invariants: Invariants,
    writeBudget: TokenBucket,
    cloudBudget: TokenBucket,
    private val load: ControllerLoad,
    rememberedImages: Map<MachineId, List<ImageName>>,
    mayBeAnswered: () -> Boolean,
) {
    private val decisions = invariants.decisions
    private val startedAt = clock.steadyMs()
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
    private val planning = SchedulingRound(settings, clock, timing, cluster, scaler, startedAt) { cache.writableFormat }
    private val tokenPropagation =
        FencingTokenPropagation(
            cluster,
            workers,
            timing,
            startedAt,
            settings.limits.maxSockets / SPREAD_SHARE,
            mayBeAnswered,
        )
    private var nextPlanAt = 0L
    private var nextRoundAt = 0L
    private var nextMoveAt = startedAt + (settings.policy.replanS * 1000).toLong()
    private var reserved: Set<MachineId> = emptySet()
    private var unplaced = 0

    val isDeposed: Boolean get() = commits.isDeposed
    val commitBacklog: Int get() = commits.backlog
    val waitingTasks: Int get() = unplaced

    init {
        cache.forEachActive { id, stored -> stored.value?.let { cluster.applyJob(id, stored, it) } }
    }

    /** Large records are looked for once, when a lease's time has passed: a new leader has more urgent things to do. */
    private var divideAt = startedAt + timing.workerLeaseRawMs

    private fun divideWhenDue(now: Long) {
        val isDue = now >= divideAt && cache.writableFormat == WritableFormat.HEAD_AND_PARTS
        if (!isDue) return
        divideAt = Long.MAX_VALUE
        if (settings.state.next != null) divideLargeRecords()
    }

    /**
     * Records that were written whole and are larger than values may be soon are written anew, the largest first, as
     * the least urgent of all writes.
     */
    fun divideLargeRecords() {
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

    /** Workers reported in this term, and for some reports' time none does: either all hang, or we are cut off. */
    fun hasLostItsWorkers(now: Long): Boolean {
        val last = lastHeartbeatAt ?: return false
        val expected = cluster.machines.values.any { it.lastContactAt != null && !it.isReleasing }
        return expected && now - last > timing.workersLostMs
    }

    /**
     * The commands for a report under our lead, to which [WorkerLeaseRenewals] adds the stops of cancelled work. Null: the
     * machine or its incarnation is gone, and nothing may renew it.
     */
    fun onHeartbeat(report: WorkerHeartbeat): List<WorkerCommand>? {
        val host = cluster.applyHeartbeat(report, isHeartbeat = true) ?: return null
        lastHeartbeatAt = clock.steadyMs()
        // A copy that came late, or our proof was wrong: renewed, the incarnation would live on with all that was given up
        // in it and that nobody stops there.
        if (host.lease.hasEnded(report.incarnation)) return null
        if (!decisions.mayLead) return emptyList()
        val position = HeartbeatPosition(report.incarnation, report.sequence)
        // The answer to a copy goes nowhere; it must not look as if the worker had been told.
        if (position < host.lastHeartbeat) return emptyList()
        val commands = storedOnly(host, cluster.commands(host, clock.steadyMs()))
        if (position == host.position) requireStops(report, commands)
        for (command in commands) {
            if (command is WorkerCommand.Start) host.live[command.attempt]?.sentInAnswer(position, clock.steadyMs())
        }
        return commands
    }

    fun tick(types: Map<TypeName, MachineType>) {
        val now = clock.steadyMs()
        delegates.tick(now)
        val heartbeats = ZoneLiveness(cluster.machines.values, timing, startedAt, now)
        val hasRoom by lazy(LazyThreadSafetyMode.NONE) { planning.hasRoomFor(heartbeats.suspects, types) }
        for (host in cluster.machines.values.toList()) watchOver(host, now, types, heartbeats) { hasRoom }
        cluster.removeOrphans()
        divideWhenDue(now)
        tokenPropagation.tick(now)
        scaler.tick(types)
        if (types.isNotEmpty() && (now >= nextRoundAt || (cluster.planWanted && now >= nextPlanAt))) plan(types, now)
        flush()
        cluster.forgetFinished(cache)
    }

    /**
     * What a leader without the state service still has to do: end cancelled work, by its machines' return if need be.
     * It decides nothing else.
     */
    fun endCancelledWork() {
        val now = clock.steadyMs()
        val heartbeats = ZoneLiveness(cluster.machines.values, timing, startedAt, now)
        for (host in cluster.machines.values.toList()) endCancelled(host, now, heartbeats)
        cluster.removeOrphans()
        scaler.releaseDue()
        flush()
    }

    /** Sends what the last batch changed; without the right to decide, only that cancelled work is to end. */
    fun flush() {
        if (decisions.mayLead) commits.flush()
        val now = clock.steadyMs()
        if (cluster.pendingPushes.isEmpty()) return
        for (id in cluster.pendingPushes.toList()) {
            val host = cluster.machines[id]
            if (host == null || commandDirectly(host, now)) cluster.pendingPushes.remove(id)
        }
    }

    private fun plan(
        types: Map<TypeName, MachineType>,
        now: Long,
    ) {
        cluster.planWanted = false
        val began = clock.nanoTime()
        val mayMove = now >= nextMoveAt
        val snapshot = planning.snapshot(types, mayMove)
        val plan = Planner(snapshot).plan()
        if (log.isDebugEnabled) log.debug("{}", PlanSummary(plan, snapshot))
        planning.apply(plan)
        val tookNs = clock.nanoTime() - began
        load.planned(tookNs, plan.priced)
        if (plan.starts.isNotEmpty() || plan.stops.isNotEmpty()) {
            val count = "${plan.starts.size} starts, ${plan.stops.size} stops"
            log.info("planned {} in {} ms: {}", count, tookNs / NS_PER_MS, decisions.describe())
        }
        if (mayMove) nextMoveAt = now + timing.movePauseMs(plan.move?.jobs ?: 0)
        reserved = plan.reserved
        unplaced = plan.unplaced
        // On a large fleet plans take long: they may take a part of the time only, or nobody else is answered.
        nextPlanAt = now + maxOf(timing.planGapMs, tookNs / NS_PER_MS * PLAN_RESTS)
        val soon = plan.unplaced > 0 || plan.reserved.isNotEmpty() || cluster.jobs.values.any { now < it.holdUntil }
        nextRoundAt = now + if (soon) timing.replanSoonMs else (settings.policy.replanS * 1000).toLong()
    }

    private fun watchOver(
        host: Machine,
        now: Long,
        types: Map<TypeName, MachineType>,
        heartbeats: ZoneLiveness,
        hasRoom: () -> Boolean,
    ) {
        endCancelled(host, now, heartbeats)
        drain(host, now)
        if (host.isReleasing) return
        // Where no other can be had, a machine that may go on is worth more than the rent of its silence.
        val patience = if (scaler.isScarce(host, now)) SCARCE_PATIENCE else 1
        val silentMs = (settings.policy.silentLeases * timing.workerLeaseRawMs).toLong() * patience
        val lastHeard = host.lastContactAt ?: maxOf(startedAt, host.firstSeenAt)
        val expected = host.lastContactAt != null || host.listed == MachineState.RUNNING
        if (expected && now - lastHeard > silentMs && heartbeats.isMajorityAlive(host.zone)) {
            scaler.scheduleRelease(host, "silent")
        }
        if (isWorthGivingUp(host, now, types) &&
            !heartbeats.isCut(host.zone) &&
            (!scaler.isScarce(host, now) || hasRoom())
        ) {
            scaler.scheduleRelease(host, "silent, and its work is worth more")
        }
        if (host.isQuarantined && host.live.isEmpty()) scaler.scheduleRelease(host, "fails its tasks")
        returnIdle(host, now, types)
    }

    /**
     * A silent machine's replicas can go elsewhere once its lease is over, or at once if it is given back. That costs
     * another machine's boot, so it must save more than that. When a zone is cut off nothing is given back, and where
     * no other machine can be had, there must be room enough without it.
     */
    private fun isWorthGivingUp(
        host: Machine,
        now: Long,
        types: Map<TypeName, MachineType>,
    ): Boolean {
        if (!isSuspect(host, now) || host.isLeaseExpired) return false
        val countsFrom = host.lease.countsFromMs ?: return false
        val type = types[host.type] ?: return false
        val leftS = (timing.workerExpiryMs - (now - countsFrom)) / 1000.0
        return Pricing.isWorthGivingUp(planning.replicaWeight(host), leftS, type, host.spot, types.values)
    }

    private fun isSuspect(
        host: Machine,
        now: Long,
    ): Boolean = host.lastContactAt?.let { now - it > timing.suspectMs } ?: false

    /** Tasks that can save are stopped just in time for it; others run on until the cloud takes the machine. */
    private fun drain(
        host: Machine,
        now: Long,
    ) {
        val until = host.noticeUntil ?: return
        for (placed in host.live.values.toList()) {
            val spec = placed.job.spec
            if (!spec.savesWork || placed.stop != null) continue
            if (until - now < spec.saveS * 1000 + timing.drainMarginMs) cluster.stop(placed, StopReason.DRAINED)
        }
    }

    private fun endCancelled(
        host: Machine,
        now: Long,
        heartbeats: ZoneLiveness,
    ) {
        // One that only renews may have been succeeded, and its successor may have renewed this lease.
        val mayBeOver = decisions.mayLead && delegates.isSurelyExpired(host.zone, host.lease.countsFromMs ?: now)
        if (mayBeOver) cluster.expire(host, now)
        val patienceMs = if (heartbeats.isCut(host.zone)) timing.partitionPatienceMs else timing.cancelPatienceMs
        for (placed in host.live.values) {
            val cancelledAt = placed.job.cancelledAt ?: continue
            // A cancelled task that we can't see ended in time is ended with its machine.
            if (now > cancelledAt + patienceMs) scaler.scheduleRelease(host, "holds cancelled work")
        }
    }

    private fun returnIdle(
        host: Machine,
        now: Long,
        types: Map<TypeName, MachineType>,
    ) {
        val busy =
            host.live.isNotEmpty() ||
                host.id in reserved ||
                host.lastContactAt == null ||
                host.tasks.values.any { it.state != TaskState.EXITED }
        if (busy) {
            host.idleSince = null
            return
        }
        val since = host.idleSince
        if (since == null) {
            host.idleSince = now
            return
        }
        val bootMs = (types[host.type]?.bootS ?: return) * 1000.0
        if (host.isDraining || now - since > settings.policy.idleBoots * bootMs) scaler.scheduleRelease(host, "idle")
    }

    /** The account and the copy have to agree on what is cancelled, or one of them lacks it. */
    private fun requireStops(
        report: WorkerHeartbeat,
        commands: List<WorkerCommand>,
    ) {
        val missing = cache.cancelledWork(report).notAmong(commands)
        if (missing.isEmpty()) return
        invariants.violated(Invariant.CANCELLED_WORK_IS_STOPPED, "${missing.map { it.attempt }} on ${report.machine}")
    }

    /** All starts pass here on their way out. */
    private fun storedOnly(
        host: Machine,
        commands: List<WorkerCommand>,
    ): List<WorkerCommand> {
        val unstored = commands.filter { it is WorkerCommand.Start && host.live[it.attempt]?.committed != true }
        if (unstored.isEmpty()) return commands
        invariants.violated(Invariant.STARTS_ARE_STORED, "$unstored for ${host.id}")
        return commands - unstored.toSet()
    }

    /** True once nothing is left to be said directly. */
    private fun commandDirectly(
        host: Machine,
        now: Long,
    ): Boolean {
        val endpoint = host.endpoint ?: return true
        val lastContactAt = host.lastContactAt ?: return true
        if (!host.isSettled(cluster.token) ||
            now - lastContactAt > timing.heartbeatLateMs ||
            now < host.directNotBefore
        ) {
            return true
        }
        if (host.directBusy) return false
        val commands =
            if (decisions.mayLead) storedOnly(host, cluster.commands(host, now)) else cluster.cancelledStops(host)
        if (commands.all { it is WorkerCommand.Forget }) return true
        host.directBusy = true
        host.directInFlight = commands.filterIsInstance<WorkerCommand.Start>().map { it.attempt }
        for (attempt in host.directInFlight) host.live[attempt]?.sentDirectly(now)
        workers.command(endpoint, cluster.token, host.position.incarnation, commands) { outcome ->
            val starts = host.directInFlight
            host.directBusy = false
            host.directInFlight = emptyList()
            when (outcome) {
                is DirectOutcome.Answered -> cluster.applyHeartbeat(outcome.report, isHeartbeat = false)
                DirectOutcome.NotSent -> host.directNotBefore = clock.steadyMs() + timing.heartbeatLateMs
                DirectOutcome.Unanswered -> {
                    // It may be executed minutes later; from here on the answers to reports carry the commands.
                    host.unresolved.addAll(starts)
                    host.directNotBefore = clock.steadyMs() + timing.workerLeaseRawMs
                }
            }
        }
        return true
    }

    private companion object {
        /** A plan is followed by a pause of this many times its length less one. */
        const val PLAN_RESTS = 5
        const val BYTES_PER_KB = 1024
        const val NS_PER_MS = 1_000_000
        const val SCARCE_PATIENCE = 3

        /** Machines that can't be reached hold a socket each until the call is given up. */
        const val SPREAD_SHARE = 16
        val log = LoggerFactory.getLogger("leader")
    }
}

/** A plan in one line, for whoever wants to know why work waits. */
private class PlanSummary(
    private val plan: Plan,
    private val snapshot: Snapshot,
) {
    override fun toString(): String =
        buildString {
            append("plan: ${plan.starts.size} starts, ${plan.stops.size} stops, ${plan.rentals.values.sum()} rentals, ")
            append("${plan.unplaced} unplaced, ${plan.reserved.size} reserved; free")
            for ((kind, machines) in snapshot.machines.groupBy { "${it.type.name}${if (it.spot) " spot" else ""}" }) {
                val gpus = machines.filter { it.isReady }.sumOf { it.free.gpus }
                val cores = machines.filter { it.isReady }.sumOf { it.free.cores }
                append(" $kind x${machines.size}: $gpus GPUs, $cores cores;")
            }
            append(" waiting:")
            for (job in snapshot.jobs) {
                if (!job.isReserve) append(" ${job.spec.className}(${job.pending.size}, ${job.waitedS.toInt()} s)")
            }
        }
}
