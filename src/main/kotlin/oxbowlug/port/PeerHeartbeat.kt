package oxbowlug.port

import oxbowlug.record.Member

/**
 * What controllers send to one another at an interval and on a change: who they are, the newest epoch and leader that
 * they know, and whether the state service answers them.
 */
internal data class PeerHeartbeat(
    val sender: Member,
    val epoch: Long,
    val leader: Member?,
    val reachesState: Boolean,
    /** Milliseconds of the sender's steady clock, comparable only with other heartbeats of the same incarnation. */
    val sendTimeMs: Long = 0,
    val echo: HeartbeatEcho? = null,
    /** Confirmed a cancellation that the leader hasn't acknowledged. */
    val hasUnacknowledgedCancellations: Boolean = false,
    /** Answered by the state service within the last moments: it may be confirming cancellations now. */
    val mayConfirmCancellations: Boolean = false,
)

/**
 * The newest heartbeat of [leader] that the sender had received, by the leader's clock, and how many leases the sender
 * has renewed as delegate in this incarnation.
 */
internal data class HeartbeatEcho(
    val leader: Member,
    val sendTimeMs: Long,
    val renewals: Long,
)
