package oxbowlug.membership

import oxbowlug.port.Clock
import oxbowlug.port.PeerHeartbeat
import oxbowlug.record.Member
import oxbowlug.timing.Timing

/**
 * The health of the other controllers, by their heartbeats. In an outage of the state service they are all without it,
 * and if all then called themselves unhealthy, users would reach nobody, not even to be told when to come back, and
 * nobody for some seconds after its end. One that alone is without it steps aside.
 */
internal class PeerHealth(
    private val peerCount: Int,
    private val clock: Clock,
    private val timing: Timing,
) {
    private class LastHeartbeat(
        val sender: Member,
        val reachesState: Boolean,
        val mayConfirmCancellations: Boolean,
        val receivedAtMs: Long,
    )

    private val lastHeartbeats = HashMap<String, LastHeartbeat>()

    /** A peer's heartbeat; the newest one replaces the one before. */
    fun onHeartbeat(heartbeat: PeerHeartbeat) {
        val sender = heartbeat.sender
        lastHeartbeats[sender.label] =
            LastHeartbeat(sender, heartbeat.reachesState, heartbeat.mayConfirmCancellations, clock.steadyMs())
    }

    /** The newest incarnation of a controller that a heartbeat came from. */
    fun incarnationOf(label: String): Member? = lastHeartbeats[label]?.sender

    /** Whether a heartbeat of it came within the last few intervals. */
    fun isAlive(label: String): Boolean = lastHeartbeats[label]?.let(::isRecent) ?: false

    private fun isRecent(heartbeat: LastHeartbeat): Boolean =
        clock.steadyMs() - heartbeat.receivedAtMs < timing.peerHeartbeatMs * ALIVE_HEARTBEATS

    /** Whether it said, in its last heartbeat, that the state service hasn't answered it lately. */
    fun isCutOffFromState(label: String): Boolean = lastHeartbeats[label]?.mayConfirmCancellations == false

    /**
     * Whether another controller reaches the state service. Also true while no other one is heard: then it is this one
     * that is cut off.
     */
    fun isStateReachableByOthers(): Boolean {
        if (peerCount == 0) return false
        val recent = lastHeartbeats.values.filter(::isRecent)
        return recent.isEmpty() || recent.any { it.reachesState }
    }

    private companion object {
        /** A peer counts as alive for as many heartbeat intervals after its last heartbeat. */
        const val ALIVE_HEARTBEATS = 4
    }
}
