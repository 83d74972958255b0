package oxbowlug.membership

import oxbowlug.port.Clock
import oxbowlug.port.PeerHeartbeat
import oxbowlug.record.Member
import oxbowlug.timing.Timing

/**
 * Failure detector for the other controllers, based on their heartbeats, which also carry whether each of them reaches
 * the state service.
 *
 * A controller that alone has lost the state service reports itself unhealthy. In an outage of the state service, all
 * controllers have lost it: if all reported themselves unhealthy, user requests would reach none of them, not even to
 * get a retry time, until some seconds after the end of the outage.
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

    private val lastHeartbeatByLabel = HashMap<String, LastHeartbeat>()

    /** Records a peer's heartbeat; only the last one received from each controller is kept. */
    fun onHeartbeat(heartbeat: PeerHeartbeat) {
        val sender = heartbeat.sender
        lastHeartbeatByLabel[sender.label] =
            LastHeartbeat(sender, heartbeat.reachesState, heartbeat.mayConfirmCancellations, clock.steadyMs())
    }

    /** The incarnation that sent the last heartbeat of the controller [label], or null if none was received. */
    fun incarnationOf(label: String): Member? = lastHeartbeatByLabel[label]?.sender

    /** Whether the controller [label] sent a heartbeat within the last [ALIVE_HEARTBEATS] heartbeat intervals. */
    fun isAlive(label: String): Boolean = lastHeartbeatByLabel[label]?.let(::isRecent) ?: false

    private fun isRecent(heartbeat: LastHeartbeat): Boolean =
        clock.steadyMs() - heartbeat.receivedAtMs < timing.peerHeartbeatMs * ALIVE_HEARTBEATS

    /**
     * Whether, by its last heartbeat, the controller [label] had no recent answer from the state service and so can't
     * be confirming cancellations.
     */
    fun isCutOffFromState(label: String): Boolean = lastHeartbeatByLabel[label]?.mayConfirmCancellations == false

    /**
     * Whether another controller reaches the state service. Also true while no peer's heartbeat is recent, since then
     * this controller is likely the one that is partitioned. False if there are no peers.
     */
    fun isStateReachableByOthers(): Boolean {
        if (peerCount == 0) return false
        val recent = lastHeartbeatByLabel.values.filter(::isRecent)
        return recent.isEmpty() || recent.any { it.reachesState }
    }

    private companion object {
        /** A peer counts as alive for this many heartbeat intervals after its last heartbeat. */
        const val ALIVE_HEARTBEATS = 4
    }
}
