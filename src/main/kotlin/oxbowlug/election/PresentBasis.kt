package oxbowlug.election

import oxbowlug.cache.StateCache
import oxbowlug.invariant.DecisionBasis
import oxbowlug.port.Clock

/** The basis of whoever decides here now. */
class PresentBasis(
    private val clock: Clock,
    private val authority: Authority,
    private val cache: StateCache,
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
            "copy of revision ${cache.revision}, ${cache.stalenessMs(clock.steadyMs())} ms old"
    }
}
