package oxbowlug.controller

import oxbowlug.cache.StateCache
import oxbowlug.cancellation.CancellationFreshness
import oxbowlug.election.LeaderElection
import oxbowlug.election.LeadershipRole
import oxbowlug.lease.HeartbeatResponse
import oxbowlug.lease.LeaseRenewalDelegate
import oxbowlug.lease.WorkerLeaseRenewals
import oxbowlug.port.Clock
import oxbowlug.record.Keys
import oxbowlug.record.Member
import oxbowlug.timing.Timing
import oxbowlug.wire.WorkerHeartbeat

/**
 * Decides which controller answers a worker's heartbeat. This controller does so as leader, as a leader that
 * may only renew leases, or as renewal delegate of a partitioned zone. Otherwise the worker is redirected to the leader
 * or the delegate, or gets the response that no controller is available.
 */
internal class HeartbeatRouter(
    private val self: Member,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
    private val election: LeaderElection,
    private val terms: LeaderTerms,
    private val delegate: LeaseRenewalDelegate,
    private val renewals: WorkerLeaseRenewals,
    private val freshness: CancellationFreshness,
) {
    private class DeferredHeartbeat(
        val event: ControllerEvent.Heartbeat,
        val deadlineMs: Long,
    )

    private val deferred = ArrayDeque<DeferredHeartbeat>()

    /** Answers [event] now, or defers it for up to [Timing.heartbeatWaitMs] while a leader is about to be known. */
    fun accept(event: ControllerEvent.Heartbeat) =
        answerOrDefer(DeferredHeartbeat(event, clock.steadyMs() + timing.heartbeatWaitMs))

    /** Retries the deferred heartbeats. Called on every tick, and when the leadership record changes. */
    fun retryDeferred() {
        repeat(deferred.size) { deferred.removeFirstOrNull()?.let(::answerOrDefer) }
    }

    /**
     * A worker that gets no renewal and no redirect tries the next controller a second later, and after a crash of all
     * controllers its lease has only a few seconds left. So its heartbeat is deferred while a leader is about to be
     * known.
     */
    private fun answerOrDefer(next: DeferredHeartbeat) {
        val response = respond(next.event.heartbeat)
        if (response.isFinal && !isLeaderGone() && !mayBeDelegated(response) || clock.steadyMs() >= next.deadlineMs) {
            next.event.answer(response)
        } else {
            deferred.addLast(next)
        }
    }

    /** Whether the response renews the lease or redirects the worker. */
    private val HeartbeatResponse.isFinal: Boolean get() = this !is HeartbeatResponse.Unavailable

    /**
     * Whether the leadership record still names a leader whose lease has expired. Workers redirected to that leader
     * would come back a second later.
     */
    private fun isLeaderGone(): Boolean {
        val role = election.role()
        return role is LeadershipRole.Follower &&
            role.leader == cache.leadership?.leader &&
            cache.isMembershipKnown &&
            !cache.hasMember(Keys.member(role.leader))
    }

    /**
     * Whether a delegate may be about to answer this worker. A redirect to an unreachable leader would cost the worker
     * a third of its lease.
     */
    private fun mayBeDelegated(response: HeartbeatResponse) =
        response is HeartbeatResponse.Redirect && delegate.isNearingActivation()

    private fun respond(heartbeat: WorkerHeartbeat): HeartbeatResponse {
        val role = election.role()
        val leadership = cache.leadership
        if (leadership != null && heartbeat.token > leadership.tokens.last) {
            election.observeEpoch(heartbeat.token.value, null)
        }
        if (role is LeadershipRole.Follower && role.leader == leadership?.leader) {
            delegate.renew(heartbeat)?.let { return renewals.renew(heartbeat, it) }
            delegate.delegateFor(heartbeat)?.let { return HeartbeatResponse.Redirect(it.label) }
        }
        val leader = leaderOf(role) ?: return HeartbeatResponse.Unavailable
        // An earlier incarnation of this controller led, so there is no leader until the next election.
        if (leader != self && leader.label == self.label) return HeartbeatResponse.Unavailable
        if (leader != self) return HeartbeatResponse.Redirect(leader.label)
        return respondAsLeader(heartbeat, role)
    }

    private fun leaderOf(role: LeadershipRole): Member? =
        when (role) {
            is LeadershipRole.Leader -> role.leadership.leader
            is LeadershipRole.RenewalOnly -> role.leadership.leader
            is LeadershipRole.Follower -> role.leader
            LeadershipRole.Unknown -> null
        }

    private fun respondAsLeader(
        heartbeat: WorkerHeartbeat,
        role: LeadershipRole,
    ): HeartbeatResponse {
        val term = terms.current() ?: return respondBeforeTerm(heartbeat, role)
        val mayMissCancellations = role is LeadershipRole.RenewalOnly && !freshness.mayRenewLeases()
        if (heartbeat.token > term.leadership.tokens.last || mayMissCancellations) return HeartbeatResponse.Unavailable
        val batch = term.onHeartbeat(heartbeat) ?: return HeartbeatResponse.Redirect(null)
        return renewals.renew(heartbeat, batch.token, batch.commands)
    }

    /**
     * A leader that was elected but has yet to read the job records renews the lease without its own commands, so that
     * tasks keep running meanwhile. After a crash of all controllers, only a few seconds are left for that read.
     */
    private fun respondBeforeTerm(
        heartbeat: WorkerHeartbeat,
        role: LeadershipRole,
    ): HeartbeatResponse {
        val isElected = role is LeadershipRole.Leader && heartbeat.token <= role.leadership.tokens.last
        return if (isElected && !cache.isSynced) {
            renewals.renew(heartbeat, role.leadership.tokens.lowestAcceptedAfter(heartbeat.token))
        } else {
            HeartbeatResponse.Unavailable
        }
    }
}
