package oxbowlug.election

import oxbowlug.cache.StateCache
import oxbowlug.invariant.DecisionContext
import oxbowlug.port.Clock
import oxbowlug.record.LeadershipRecord

/** The [DecisionContext] of this controller, read from its election and its state cache at each call. */
internal class LeadershipDecisionContext(
    private val clock: Clock,
    private val election: LeaderElection,
    private val cache: StateCache,
) : DecisionContext {
    override val mayLead: Boolean get() = election.role() is LeadershipRole.Leader

    override fun describe(): String =
        "${describeRole()} leaseRemainingMs=${election.leaseRemainingMs()} " +
            "revision=${cache.revision} stalenessMs=${cache.stalenessMs(clock.steadyMs())}"

    private fun describeRole(): String =
        when (val role = election.role()) {
            is LeadershipRole.Leader -> "role=leader ${describe(role.leadership)}"
            is LeadershipRole.RenewalOnly -> "role=renewal-only ${describe(role.leadership)}"
            is LeadershipRole.Follower -> "role=follower leader=${role.leader.label}"
            LeadershipRole.Unknown -> "role=unknown"
        }

    private fun describe(leadership: LeadershipRecord): String =
        "epoch=${leadership.epoch} token=${leadership.token.value}"
}
