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
 * Decides who answers a worker's heartbeat: this controller as leader, as one that only extends leases, or as renewal
 * delegate of a zone that is cut off; otherwise the worker is redirected to the leader, or told to try elsewhere.
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
    private class WaitingHeartbeat(
        val event: ControllerEvent.Heartbeat,
        val untilMs: Long,
    )

    private val waiting = ArrayDeque<WaitingHeartbeat>()

    /** Answers [event] now, or keeps it for a moment while a leader is about to be known. */
    fun accept(event: ControllerEvent.Heartbeat) =
        answerOrWait(WaitingHeartbeat(event, clock.steadyMs() + timing.heartbeatWaitMs))

    /** Tries again what waits; called on every tick, and as soon as another leader is known. */
    fun retryDeferred() {
        repeat(waiting.size) { waiting.removeFirstOrNull()?.let(::answerOrWait) }
    }

    /**
     * A worker that is refused goes on to the next controller a second later, and after the end of all controllers its
     * lease has few of them left. So while a leader is about to be known, its heartbeat waits a moment for that.
     */
    private fun answerOrWait(next: WaitingHeartbeat) {
        val response = respond(next.event.heartbeat)
        if (response.isFinal && !isLeaderGone() && !mayBeDelegated(response) || clock.steadyMs() >= next.untilMs) {
            next.event.answer(response)
        } else {
            waiting.addLast(next)
        }
    }

    private val HeartbeatResponse.isFinal: Boolean get() = this !is HeartbeatResponse.Unavailable

    /** The record still names a leader whose lease has expired: workers sent to it would come back a second later. */
    private fun isLeaderGone(): Boolean {
        val role = election.role()
        return role is LeadershipRole.Follower &&
            role.leader == cache.leadership?.leader &&
            cache.isMembershipKnown &&
            !cache.hasMember(Keys.member(role.leader))
    }

    /** Redirected to a leader that is out of reach, a worker would lose a third of its lease for nothing. */
    private fun mayBeDelegated(response: HeartbeatResponse) =
        response is HeartbeatResponse.Redirect && delegate.isNearingActivation()

    private fun respond(heartbeat: WorkerHeartbeat): HeartbeatResponse {
        val role = election.role()
        val leadership = cache.leadership
        if (leadership != null && heartbeat.token > leadership.token) {
            election.observeEpoch(heartbeat.token.value, null)
        }
        if (role is LeadershipRole.Follower && role.leader == leadership?.leader) {
            delegate.renew(heartbeat)?.let { return renewals.renew(heartbeat, it) }
            delegate.delegateFor(heartbeat)?.let { return HeartbeatResponse.Redirect(it.label) }
        }
        val leader = leaderOf(role) ?: return HeartbeatResponse.Unavailable
        // An earlier incarnation of ours led: until the next election nobody does.
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
        if (heartbeat.token > term.leadership.token || mayMissCancellations) return HeartbeatResponse.Unavailable
        val commands = term.onHeartbeat(heartbeat) ?: return HeartbeatResponse.Redirect(null)
        return renewals.renew(heartbeat, term.leadership.token, commands)
    }

    /**
     * Elected, but without the jobs' records yet: the lease is renewed and nothing commanded, so that the work runs on
     * while they are read. After the end of all controllers there are a few seconds left for that, no more.
     */
    private fun respondBeforeTerm(
        heartbeat: WorkerHeartbeat,
        role: LeadershipRole,
    ): HeartbeatResponse {
        val isElected = role is LeadershipRole.Leader && heartbeat.token <= role.leadership.token
        return if (isElected && !cache.isSynced) {
            renewals.renew(heartbeat, role.leadership.token)
        } else {
            HeartbeatResponse.Unavailable
        }
    }
}
