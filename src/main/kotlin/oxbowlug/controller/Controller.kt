package oxbowlug.controller

import org.agrona.concurrent.ManyToOneConcurrentArrayQueue
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
import oxbowlug.lease.HeartbeatResponse
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
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.record.RequestIds
import oxbowlug.record.WritableFormat
import oxbowlug.request.UserRequestHandler
import oxbowlug.timing.Timing
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.TypeName
import oxbowlug.wire.WorkerHeartbeat
import kotlin.random.Random

/**
 * The single owner of all state. Adapters offer commands to its queue; it works through them in batches, and
 * whatever a batch changed is sent once, after it. Nothing else touches the model.
 */
internal class Controller(
    private val settings: Settings,
    val self: Member,
    private val state: StatePort,
    private val cloud: CloudPort,
    private val workers: WorkerPort,
    private val clock: Clock,
    private val meters: Meters,
    random: Random,
    private val peers: PeerPort,
    private val wake: () -> Unit,
) {
    val timing = Timing(settings, random)
    private val load = ControllerLoad(meters, timing.tickMs, (settings.policy.replanS * 1000).toLong())
    private val queue = ManyToOneConcurrentArrayQueue<ControllerEvent>(capacity(settings))
    private val cache = StateCache(state, clock, timing, Listener()) { isOurView() }
    private val election = LeaderElection(self, state, clock, timing, cache, settings.state.lowest.txnOps)
    private val decisions = LeadershipDecisionContext(clock, election, cache)
    private val invariants = Invariants(decisions, meters)
    private val renewals = WorkerLeaseRenewals(cache, decisions)
    private val formatUpgrade = FormatUpgrade(settings, state, clock, timing, cache)

    // Half of the write rate is for accepting and cancelling. A controller may use all of that half, since users are
    // rarely everywhere at once; where they are, the state service refuses the surplus and it is tried again.
    private val leaderWrites = TokenBucket(settings.state.writeRps * LEADER_SHARE)
    private val ownWrites = TokenBucket(settings.state.writeRps * (1 - LEADER_SHARE))
    private val cloudBudget = TokenBucket(settings.cloud.rps * 0.8)
    private val names = RequestIds(self)
    private val delegate = LeaseRenewalDelegate(self, settings.zone, settings.policy.regions, clock, timing, cache)
    private val peerHealth = PeerHealth(settings.peers.size, clock, timing)
    private val cancellations =
        CancellationTracker(
            self,
            settings,
            clock,
            timing,
            cache,
            peerHealth,
            peers,
            ::isTerminationProven,
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
            cloudBudget,
        )
    private val freshness = CancellationFreshness(self, settings, clock, timing, cache)
    private val jobRequests =
        UserRequestHandler(
            names,
            settings,
            state,
            clock,
            timing,
            cache,
            ownWrites,
            meters,
            cancellations::confirmed,
            cancellations::onUserInformed,
            decisions,
        )
    private var types: Map<TypeName, MachineType> = emptyMap()
    private var fetchingTypes = false
    private var nextTypesAt = 0L
    private var leader: LeaderTerm? = null
    private var loggedRole: LeadershipRole = LeadershipRole.Unknown
    private var leaderChanged = false
    private val waitingHeartbeats = ArrayDeque<WaitingHeartbeat>()
    private var rememberedImages: Map<MachineId, List<ImageName>> = emptyMap()

    val queueDepth: Int get() = queue.size
    val submissionsInProgress: Int get() = jobRequests.inProgress
    val submissionLimit: Int get() = jobRequests.limit
    val commitBacklog: Int get() = leader?.commitBacklog ?: 0
    val waitingTasks: Int get() = leader?.waitingTasks ?: 0
    val machineCount: Int get() = leader?.cluster?.machines?.size ?: 0
    val writesLeft: Double get() = leaderWrites.available(clock.steadyMs())
    val cloudCallsLeft: Double get() = cloudBudget.available(clock.steadyMs())
    val openCancellations: Int get() = cancellations.open.count { !it.isTerminationProven }
    val epoch: Long get() = cache.leadership?.epoch ?: 0
    val isLeading: Boolean get() = election.role() is LeadershipRole.Leader
    val leaseRemainingMs: Long get() = election.leaseRemainingMs()
    val stalenessMs: Long get() = cache.stalenessMs(clock.steadyMs())
    val fullResyncs: Long get() = cache.fullResyncs
    val token: Long get() = cache.leadership?.token?.value ?: 0

    /** False when the queue is full: the caller answers "unavailable" itself. */
    fun offer(command: ControllerEvent): Boolean {
        val taken = queue.offer(command)
        if (taken) wake()
        return taken
    }

    /** Works through what is in the queue now. */
    fun drain() {
        val began = clock.nanoTime()
        var left = queue.size
        while (left-- > 0) {
            val command = queue.poll() ?: break
            try {
                handle(command)
            } catch (e: RuntimeException) {
                // One command's failure must not end the process with all that it holds.
                log.error("{} failed", command.javaClass.simpleName, e)
            }
        }
        if (leaderChanged) {
            leaderChanged = false
            answerWaiting()
        }
        leading()?.flush()
        load.stepped(clock.nanoTime() - began)
    }

    /** Whether users and workers can be served here, or at least no worse than elsewhere. */
    fun isHealthy(): Boolean =
        cache.isSynced && types.isNotEmpty() && (seesState() || !peerHealth.someoneElseSeesState())

    private fun isOurView(): Boolean = cache.leadership?.leader == self

    private fun seesState() = clock.steadyMs() - cache.lastContactMs < timing.stateAwayMs * 2

    fun heartbeat(): PeerHeartbeat =
        PeerHeartbeat(
            self,
            cache.leadership?.epoch ?: 0,
            cache.leadership?.leader,
            seesState(),
            clock.steadyMs(),
            delegate.echo(),
            hasUnacknowledged = cancellations.hasUnacknowledged(),
            mayConfirm = clock.steadyMs() - cache.lastContactMs < timing.confirmsMs,
        )

    /** Whether all attempts of a job are proven gone, as far as this controller has it in its account. */
    private fun isTerminationProven(id: JobId): Boolean? =
        when (election.role()) {
            is LeadershipRole.Leader, is LeadershipRole.RenewalOnly ->
                leader
                    ?.cluster
                    ?.jobs
                    ?.get(id)
                    ?.attempts
                    ?.isEmpty()
            is LeadershipRole.Follower, LeadershipRole.Unknown -> null
        }

    /**
     * Which images the machines hold, told by the leader to those who may succeed it: reports don't say it, and a
     * successor that didn't know would have replicas fetch again what lies on the next machine. Empty elsewhere.
     */
    fun images(): Map<MachineId, List<ImageName>> =
        if (isLeading) {
            leader
                ?.cluster
                ?.machines
                ?.mapValues { it.value.images.toList() }
                .orEmpty()
        } else {
            emptyMap()
        }

    /** Who answers for a machine. With one part, the leader answers for all of them. */
    private fun owner(
        @Suppress("UNUSED_PARAMETER") machine: MachineId,
        role: LeadershipRole,
    ): Member? =
        when (role) {
            is LeadershipRole.Leader -> role.leadership.leader
            is LeadershipRole.RenewalOnly -> role.leadership.leader
            is LeadershipRole.Follower -> role.leader
            LeadershipRole.Unknown -> null
        }

    private fun handle(command: ControllerEvent) {
        when (command) {
            is ControllerEvent.Submit -> jobRequests.submit(command.spec, types, command.answer)
            is ControllerEvent.SubmitMalformed ->
                jobRequests.submitMalformed(
                    command.id,
                    command.problem,
                    command.answer,
                )
            is ControllerEvent.Poll -> jobRequests.poll(command.id, command.answer)
            is ControllerEvent.Cancel -> jobRequests.cancel(command.id, command.answer)
            is ControllerEvent.Heartbeat -> {
                load.reported()
                answerOrWait(WaitingHeartbeat(command, clock.steadyMs() + timing.heartbeatWaitMs))
            }
            is ControllerEvent.PeerHeartbeatReceived -> {
                peerHealth.onHeartbeat(command.heartbeat)
                delegate.onHeartbeat(command.heartbeat)
                leader?.delegates?.onHeartbeat(command.heartbeat)
                freshness.onHeartbeat(command.heartbeat)
                election.observeEpoch(command.heartbeat.epoch, command.heartbeat.leader)
            }
            is ControllerEvent.CancellationNoticeReceived -> cancellations.onNotice(command.notice)
            is ControllerEvent.ImagesReceived ->
                rememberedImages = if (command.isFirst) command.images else rememberedImages + command.images
            is ControllerEvent.CallCompleted -> command.action()
            ControllerEvent.Tick -> tick()
        }
    }

    private class WaitingHeartbeat(
        val command: ControllerEvent.Heartbeat,
        val until: Long,
    )

    /**
     * A worker that is refused goes on to the next controller a second later, and after the end of all controllers its
     * lease has few of them left. So while a leader is about to be known, its report waits a moment for that.
     */
    private fun answerOrWait(waiting: WaitingHeartbeat) {
        val answer = onHeartbeat(waiting.command.report)
        if (answer.isFinal && !isLeaderGone() && !mayBeDelegated(answer) || clock.steadyMs() >= waiting.until) {
            waiting.command.answer(answer)
        } else {
            waitingHeartbeats.addLast(waiting)
        }
    }

    private val HeartbeatResponse.isFinal: Boolean get() = this !is HeartbeatResponse.Unavailable

    /** The view still names a leader whose lease is over: workers sent to it would come back a second later. */
    private fun isLeaderGone(): Boolean {
        val role = election.role()
        return role is LeadershipRole.Follower &&
            role.leader == cache.leadership?.leader &&
            cache.knowsMembers &&
            !cache.hasMember(Keys.member(role.leader))
    }

    /** Sent on to a leader that is out of reach, a worker would lose a third of its lease for nothing. */
    private fun mayBeDelegated(answer: HeartbeatResponse) =
        answer is HeartbeatResponse.Redirect && delegate.isLosingTouch()

    private fun answerWaiting() {
        repeat(waitingHeartbeats.size) { waitingHeartbeats.removeFirstOrNull()?.let(::answerOrWait) }
    }

    private fun onHeartbeat(report: WorkerHeartbeat): HeartbeatResponse {
        val role = election.role()
        val leadership = cache.leadership
        if (leadership != null && report.token > leadership.token) election.observeEpoch(report.token.value, null)
        if (role is LeadershipRole.Follower && role.leader == leadership?.leader) {
            delegate.renew(report)?.let { return renewals.renew(report, it) }
            delegate.named(report)?.let { return HeartbeatResponse.Redirect(it.label) }
        }
        val owner = owner(report.machine, role) ?: return HeartbeatResponse.Unavailable
        // An earlier life of ours led: until the next election nobody does.
        if (owner != self && owner.label == self.label) return HeartbeatResponse.Unavailable
        if (owner != self) return HeartbeatResponse.Redirect(owner.label)
        val leading = leading() ?: return answerEarly(report, role)
        val mayMissCancellations = role is LeadershipRole.RenewalOnly && !freshness.mayRenewLeases()
        if (report.token > leading.leadership.token || mayMissCancellations) return HeartbeatResponse.Unavailable
        val commands = leading.onHeartbeat(report) ?: return HeartbeatResponse.Redirect(null)
        return renewals.renew(report, leading.leadership.token, commands)
    }

    /**
     * Elected, but without the jobs' records yet: the lease is renewed and nothing commanded, so that the work runs on
     * while they are read. After the end of all controllers there are a few seconds left for that, no more.
     */
    private fun answerEarly(
        report: WorkerHeartbeat,
        role: LeadershipRole,
    ): HeartbeatResponse =
        if (role is LeadershipRole.Leader && !cache.isSynced && report.token <= role.leadership.token) {
            renewals.renew(report, role.leadership.token)
        } else {
            HeartbeatResponse.Unavailable
        }

    private fun tick() {
        cache.tick()
        election.tick()
        val now = clock.steadyMs()
        load.ticked(now)
        logRoleChange()
        answerWaiting()
        if (!fetchingTypes && now >= nextTypesAt) fetchTypes()
        cancellations.tick()
        formatUpgrade.tick(cache.leadership?.takeIf { isLeading })
        val role = election.role()
        val leading = leading()
        if (leading == null ||
            role !is LeadershipRole.Leader &&
            role !is LeadershipRole.RenewalOnly
        ) {
            return cancellationEnforcer.tick()
        }
        if (role is LeadershipRole.RenewalOnly) return leading.endCancelledWork()
        leading.tick(types)
        // Cut from the workers alone, a leader would send them all to itself until their leases are over.
        if (leading.hasLostItsWorkers(now) && cache.memberCount() > 1) {
            log.info("no worker reaches this leader any more")
            election.resign()
        }
    }

    /** A line whenever what this controller may do is another than at the last tick. */
    private fun logRoleChange() {
        val role = election.role()
        if (role == loggedRole) return
        loggedRole = role
        log.info("now {}", decisions.describe())
    }

    /** The leader's model under the present view; made once the copy holds all that was committed before it. */
    private fun leading(): LeaderTerm? {
        val leadership = cache.leadership
        val present = leader
        val mayWrite = cache.writableFormat != WritableFormat.NONE
        if (leadership == null ||
            leadership.leader != self ||
            election.role() is LeadershipRole.Follower ||
            !mayWrite
        ) {
            leader = null
            return null
        }
        if (present != null &&
            present.leadership.version == leadership.version
        ) {
            return if (present.isDeposed) null else present
        }
        if (!cache.isSynced || cache.revision < leadership.version) return null
        log.info("leading at epoch {}", leadership.epoch)
        val next =
            LeaderTerm(
                leadership,
                names,
                settings,
                state,
                cloud,
                workers,
                clock,
                timing,
                cache,
                invariants,
                leaderWrites,
                cloudBudget,
                load,
                rememberedImages,
                ::mayFormerLeaderAnswer,
            )
        leader = next
        return next
    }

    /** One that has a later life has ended, and one that is heard hears of its successor as well. */
    private fun mayFormerLeaderAnswer(): Boolean {
        val former = cache.formerLeader ?: return false
        val life = peerHealth.incarnationOf(former.label)
        val isTerminationProven =
            former.label == self.label ||
                life != null &&
                life != former ||
                cache.members().any { it.label == former.label && it != former }
        return !isTerminationProven && !peerHealth.isAlive(former.label)
    }

    private fun fetchTypes() {
        fetchingTypes = true
        cloud.types { fetched ->
            fetchingTypes = false
            val now = clock.steadyMs()
            if (fetched == null) {
                nextTypesAt = now + timing.retryMs() * 2
            } else {
                types = fetched.associateBy { it.name }
                // Only the leader needs the present spot prices.
                nextTypesAt = now + timing.typesEveryMs * if (isLeading) 1 else 6
            }
        }
    }

    private inner class Listener : StateCacheListener {
        override fun onMembersRead() = election.registerOrCampaign(clock.steadyMs())

        override fun onLeaderChanged(leadership: LeadershipRecord) {
            log.info("epoch {} is led by {}", leadership.epoch, leadership.leader.label)
            leaderChanged = true
            peers.heartbeatChanged()
        }

        override fun onJob(
            id: JobId,
            job: CachedJob,
            value: Map<String, Any?>,
        ) {
            leader?.cluster?.applyJob(id, job, value)
            cancellations.onRecordChanged(id, job, value)
        }

        override fun onDependencyChanged(id: JobId) {
            leader?.cluster?.onDependencyChanged(id)
        }

        override fun onWritableFormat(format: WritableFormat) {
            log.info("the data format is now {}", format)
            if (format != WritableFormat.HEAD_AND_PARTS) return
            // From here on everything is built for both limits, so that the moment at which they change doesn't matter.
            leaderWrites.limit(settings.state.lowest.writeRps * LEADER_SHARE)
            ownWrites.limit(settings.state.lowest.writeRps * (1 - LEADER_SHARE))
            leader?.divideLargeRecords()
        }
    }

    private companion object {
        /**
         * Requests aren't pipelined, so each socket brings one command at a time; the rest is ticks, peers and timers.
         * A full queue can't take the outcome of a call, and that ends the process.
         */
        fun capacity(settings: Settings): Int = maxOf(LEAST_QUEUE, settings.limits.maxSockets * 2)

        const val LEAST_QUEUE = 4096

        /** Of the write rate; the rest is for accepting and cancelling. */
        const val LEADER_SHARE = 0.5
        val log = LoggerFactory.getLogger("core")
    }
}
