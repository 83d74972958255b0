package oxbowlug.membership

import oxbowlug.port.Clock
import oxbowlug.port.PeerHeartbeat
import oxbowlug.record.Member
import oxbowlug.timing.Timing

/**
 * How the other controllers fare. In an outage of the state service they are all without it, and if all then called
 * themselves unhealthy, users would reach nobody, not even to be told when to come back, and nobody for some seconds
 * after its end. One that alone is without it steps aside.
 */
internal class PeerHealth(
    private val peers: Int,
    private val clock: Clock,
    private val timing: Timing,
) {
    private class Heard(
        val sender: Member,
        val seesState: Boolean,
        val mayConfirm: Boolean,
        val atMs: Long,
    )

    private val heard = HashMap<String, Heard>()

    fun onHeartbeat(heartbeat: PeerHeartbeat) {
        val sender = heartbeat.sender
        heard[sender.label] = Heard(sender, heartbeat.seesState, heartbeat.mayConfirm, clock.steadyMs())
    }

    /** The newest life of a controller that was heard. */
    fun incarnationOf(label: String): Member? = heard[label]?.sender

    fun isAlive(label: String): Boolean =
        heard[label]?.let { clock.steadyMs() - it.atMs < timing.peerHeartbeatMs * 4 } ?: false

    fun isWithoutState(label: String): Boolean = heard[label]?.mayConfirm == false

    /** Also true while no other one is heard: then it is this one that is cut off. */
    fun someoneElseSeesState(): Boolean {
        if (peers == 0) return false
        val recent = heard.values.filter { clock.steadyMs() - it.atMs < timing.peerHeartbeatMs * 4 }
        return recent.isEmpty() || recent.any { it.seesState }
    }
}
