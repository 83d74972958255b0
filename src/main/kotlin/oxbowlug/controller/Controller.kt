package oxbowlug.controller

import org.slf4j.LoggerFactory
import oxbowlug.cache.CachedJob
import oxbowlug.cache.StateCache
import oxbowlug.cache.StateCacheListener
import oxbowlug.cancellation.CancellationEnforcer
import oxbowlug.cancellation.CancellationFreshness
import oxbowlug.cancellation.CancellationTracker
import oxbowlug.commit.FormatUpgrade
import oxbowlug.config.Settings
import oxbowlug.election.LeaderElection
import oxbowlug.election.LeadershipDecisionContext
import oxbowlug.election.LeadershipRole
import oxbowlug.invariant.Invariants
import oxbowlug.leader.ControllerLoad
import oxbowlug.leader.LeaderTerm
import oxbowlug.lease.LeaseRenewalDelegate
import oxbowlug.lease.WorkerLeaseRenewals
import oxbowlug.membership.PeerHealth
import oxbowlug.port.Clock
import oxbowlug.port.CloudPort
import oxbowlug.port.Meters
import oxbowlug.port.PeerHeartbeat
import oxbowlug.port.PeerPort
import oxbowlug.port.StatePort
import oxbowlug.port.WorkerPort
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.record.RequestIds
import oxbowlug.record.WritableFormat
import oxbowlug.request.UserRequestHandler
import oxbowlug.timing.Timing
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineId
import kotlin.random.Random

/**
 * The single owner of a controller's state, which wires its components together. Adapters offer events to the queue;
 * the event loop handles them in batches, and sends the resulting changes once after each batch. No other code changes
 * the state, and everything except [offer] may only be called on the event loop's thread.
 */
internal class Controller(
    private val settings: Settings,
    /** This controller, with an incarnation that no earlier process has used. */
    val self: Member,
    private val state: StatePort,
    private val cloud: CloudPort,
    private val workers: WorkerPort,
    private val clock: Clock,
    meters: Meters,
    random: Random,
    private val peers: PeerPort,
    wake: () -> Unit,
) {
    /** All durations, derived from the settings. */
    val timing = Timing(settings, random)
    private val load = ControllerLoad(meters, timing.tickMs, (settings.policy.replanS * MS_PER_S).toLong())
    private val queue = EventQueue(queueCapacity(settings), wake)
    private val limits = RateLimits(settings)
    private val requestIds = RequestIds(self)
    private val cache = StateCache(state, clock, timing, CacheListener()) { isElected() }
    private val election = LeaderElection(self, state, clock, timing, cache, settings.state.lowest.txnOps)
    private val decisions = LeadershipDecisionContext(clock, election, cache)
    private val invariants = Invariants(decisions, meters)
    private val renewals = WorkerLeaseRenewals(cache, decisions)
    private val formatUpgrade = FormatUpgrade(settings, state, clock, timing, cache)
    private val delegate = LeaseRenewalDelegate(self, settings.zone, settings.policy.regions, clock, timing, cache)
    private val peerHealth = PeerHealth(settings.peers.size, clock, timing)
    private val freshness = CancellationFreshness(self, settings, clock, timing, cache)
    private val formerLeader = FormerLeader(self, cache, peerHealth)
    private val terms = LeaderTerms(self, election, cache, ::beginTerm)
    private val catalog = MachineTypeCatalog(cloud, clock, timing) { isLeading }
    private val cancellations =
        CancellationTracker(
            self,
            settings,
            clock,
            timing,
            cache,
            peerHealth,
            peers,
            terms::isTerminationProven,
        )
    private val cancellationEnforcer =
        CancellationEnforcer(
            self,
            settings,
            clock,
            timing,
            cache,
            cancellations,
            peerHealth,
            cloud,
            workers,
            limits.cloudCalls,
        )
    private val requests =
        UserRequestHandler(
            requestIds,
            settings,
            state,
            clock,
            timing,
            cache,
            limits.userWrites,
            meters,
            cancellations,
            decisions,
        )
    private val heartbeatRouter =
        HeartbeatRouter(self, clock, timing, cache, election, terms, delegate, renewals, freshness)

    /** The values that are published in this controller's metrics. */
    val status = ControllerStatus(clock, queue, cache, election, terms, limits, requests, cancellations)
    private var loggedRole: LeadershipRole = LeadershipRole.Unknown
    private var leaderChanged = false
    private var rememberedImages: Map<MachineId, List<ImageName>> = emptyMap()
    private val isLeading: Boolean get() = election.role() is LeadershipRole.Leader

    /** May be called on any thread. Returns false if the queue is full; the caller then answers "unavailable". */
    fun offer(event: ControllerEvent): Boolean = queue.offer(event)

    /** Handles the events that are in the queue now, and sends the resulting changes. */
    fun drain() {
        val beganNs = clock.nanoTime()
        queue.drain(::handle)
        if (leaderChanged) {
            leaderChanged = false
            heartbeatRouter.retryDeferred()
        }
        terms.current()?.flush()
        load.recordStep(clock.nanoTime() - beganNs)
    }

    /** Whether this controller can serve users and workers, or at least no worse than the other controllers. */
    fun isHealthy(): Boolean =
        cache.isSynced && catalog.types.isNotEmpty() && (reachesState() || !peerHealth.isStateReachableByOthers())

    private fun isElected(): Boolean = cache.leadership?.leader == self

    private fun reachesState() = clock.steadyMs() - cache.lastContactMs < timing.stateUnreachableMs * 2

    /** This controller's present heartbeat to its peers. */
    fun heartbeat(): PeerHeartbeat =
        PeerHeartbeat(
            self,
            cache.leadership?.epoch ?: 0,
            cache.leadership?.leader,
            reachesState(),
            clock.steadyMs(),
            delegate.echo(),
            hasUnacknowledgedCancellations = cancellations.hasUnacknowledgedCancellations(),
            mayConfirmCancellations = clock.steadyMs() - cache.lastContactMs < timing.cancellationConfirmWindowMs,
        )

    /**
     * The images on each machine, which the leader sends to its possible successors; empty unless this controller
     * leads. Worker heartbeats don't list images, and a successor without this map would place replicas where they have
     * to fetch an image again that another machine already holds.
     */
    fun images(): Map<MachineId, List<ImageName>> {
        val machines = if (isLeading) terms.latest?.cluster?.machines else null
        return machines?.mapValues { it.value.images.toList() }.orEmpty()
    }

    private fun handle(event: ControllerEvent) {
        when (event) {
            is ControllerEvent.Submit -> requests.submit(event.spec, catalog.types, event.answer)
            is ControllerEvent.SubmitMalformed -> requests.submitMalformed(event.id, event.problem, event.answer)
            is ControllerEvent.Poll -> requests.poll(event.id, event.answer)
            is ControllerEvent.Cancel -> requests.cancel(event.id, event.answer)
            is ControllerEvent.Heartbeat -> {
                load.heartbeatReceived()
                heartbeatRouter.accept(event)
            }
            is ControllerEvent.PeerHeartbeatReceived -> onPeerHeartbeat(event.heartbeat)
            is ControllerEvent.CancellationNoticeReceived -> cancellations.onNotice(event.notice)
            is ControllerEvent.ImagesReceived ->
                rememberedImages = if (event.isFirst) event.images else rememberedImages + event.images
            is ControllerEvent.CallCompleted -> event.action()
            ControllerEvent.Tick -> tick()
        }
    }

    private fun onPeerHeartbeat(heartbeat: PeerHeartbeat) {
        peerHealth.onHeartbeat(heartbeat)
        delegate.onHeartbeat(heartbeat)
        terms.latest?.delegates?.onHeartbeat(heartbeat)
        freshness.onHeartbeat(heartbeat)
        election.observeEpoch(heartbeat.epoch, heartbeat.leader)
    }

    private fun tick() {
        cache.tick()
        election.tick()
        val now = clock.steadyMs()
        load.ticked(now)
        logRoleChange()
        heartbeatRouter.retryDeferred()
        catalog.tick(now)
        cancellations.tick()
        formatUpgrade.tick(cache.leadership?.takeIf { isLeading })
        val role = election.role()
        val term = terms.current()
        when {
            term != null && role is LeadershipRole.Leader -> lead(term, now)
            term != null && role is LeadershipRole.RenewalOnly -> term.endCancelledWork()
            else -> cancellationEnforcer.tick()
        }
    }

    private fun lead(
        term: LeaderTerm,
        now: Long,
    ) {
        term.tick(catalog.types)
        // If only the workers can't reach the leader, the followers redirect them to it until their leases expire.
        if (term.hasLostAllWorkers(now) && cache.memberCount() > 1) {
            log.info("leader resigns without worker heartbeats: {}", decisions.describe())
            election.resign()
        }
    }

    /** Logs the role if it differs from the role at the last tick. */
    private fun logRoleChange() {
        val role = election.role()
        if (role == loggedRole) return
        loggedRole = role
        log.info("role changed: {}", decisions.describe())
    }

    private fun beginTerm(leadership: LeadershipRecord) =
        LeaderTerm(
            leadership,
            requestIds,
            settings,
            state,
            cloud,
            workers,
            clock,
            timing,
            cache,
            invariants,
            limits.leaderWrites,
            limits.cloudCalls,
            load,
            rememberedImages,
            formerLeader::mayStillAnswerWorkers,
        )

    private inner class CacheListener : StateCacheListener {
        override fun onMembershipRead() = election.registerOrCampaign(clock.steadyMs())

        override fun onLeaderChanged(leadership: LeadershipRecord) {
            val (epoch, token, leader) = leadership
            log.info("leader changed: epoch={} token={} leader={}", epoch, token.value, leader.label)
            leaderChanged = true
            peers.broadcastHeartbeat()
        }

        override fun onJob(
            id: JobId,
            job: CachedJob,
            value: Map<String, Any?>,
        ) {
            terms.latest?.cluster?.applyJob(id, job, value)
            cancellations.onRecordChanged(id, job, value)
        }

        override fun onDependencyChanged(id: JobId) {
            terms.latest?.cluster?.onDependencyChanged(id)
        }

        override fun onWritableFormat(format: WritableFormat) {
            log.info("data format changed: format={}", format)
            if (format != WritableFormat.HEAD_AND_PARTS) return
            // From here on all writes keep to both the current and the next limits of the state service, so it doesn't
            // matter when the service switches to the next ones.
            limits.lowerWrites(settings.state.lowest.writeRps)
            terms.latest?.splitLargeRecords()
        }
    }

    private companion object {
        /**
         * HTTP requests aren't pipelined, so each socket has at most one event in the queue; the rest of the capacity
         * is for ticks, peer messages and timers. If the outcome of a call finds the queue full, the process ends.
         */
        fun queueCapacity(settings: Settings): Int = maxOf(MIN_QUEUE, settings.limits.maxSockets * 2)

        const val MIN_QUEUE = 4096
        const val MS_PER_S = 1000
        val log = LoggerFactory.getLogger("controller")
    }
}
