package oxbowlug.election

import oxbowlug.cache.StateCache
import oxbowlug.invariant.DecisionContext
import oxbowlug.port.Clock

/** The basis of whoever decides here now. */
internal class LeadershipDecisionContext(
    private val clock: Clock,
    private val election: LeaderElection,
    private val cache: StateCache,
) : DecisionContext {
    override val mayLead: Boolean get() = election.role() is LeadershipRole.Leader

    override fun describe(): String {
        val role =
            when (val role = election.role()) {
                is LeadershipRole.Leader -> "leader of epoch ${role.leadership.epoch} under token ${role.leadership.token.value}"
                is LeadershipRole.RenewalOnly -> "renewing only, epoch ${role.leadership.epoch} under token ${role.leadership.token.value}"
                is LeadershipRole.Follower -> "follower of ${role.leader.label}"
                LeadershipRole.Unknown -> "of no known role"
            }
        return "$role, lease believed for ${election.leaseRemainingMs()} ms, " +
            "copy of revision ${cache.revision}, ${cache.stalenessMs(clock.steadyMs())} ms old"
    }
}
