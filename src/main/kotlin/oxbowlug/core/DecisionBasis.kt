package oxbowlug.core

import oxbowlug.cache.Replica
import oxbowlug.port.Clock

/**
 * What a decision was taken from, for the log: in force, and for how long, and how old the copy of the state service
 * is. A line of it stands beside each decision that matters, so that a broken rule can be reconstructed.
 */
interface DecisionBasis {
    /**
     * Whether this controller leads and believes in its lease at this moment. Asked right before whatever it allows:
     * asked once and kept through a long plan, the right had lapsed by the time it was used.
     */
    val mayDecide: Boolean

    fun describe(): String
}

/** The basis of whoever decides here now. */
class PresentBasis(
    private val clock: Clock,
    private val authority: Authority,
    private val replica: Replica,
) : DecisionBasis {
    override val mayDecide: Boolean get() = authority.role() is Role.Leader

    override fun describe(): String {
        val role = when (val role = authority.role()) {
            is Role.Leader -> "leader of epoch ${role.view.epoch} under token ${role.view.token.value}"
            is Role.RenewingOnly -> "renewing only, epoch ${role.view.epoch} under token ${role.view.token.value}"
            is Role.Follower -> "follower of ${role.leader.label}"
            Role.Unknown -> "of no known role"
        }
        return "$role, lease believed for ${authority.leaseLeftMs()} ms, " +
            "copy of revision ${replica.revision}, ${replica.copyAgeMs(clock.steadyMs())} ms old"
    }
}
