package oxbowlug.port

import oxbowlug.record.Member

/**
 * What controllers tell one another: who they are, the newest view that they know, and whether the state service
 * answers them.
 */
internal data class PeerHeartbeat(
    val sender: Member,
    val epoch: Long,
    val leader: Member?,
    val seesState: Boolean,
    /** The sender's steady clock. */
    val atMs: Long = 0,
    val echo: HeartbeatEcho? = null,
    /** Confirmed a cancellation that the leader hasn't acknowledged. */
    val hasUnacknowledged: Boolean = false,
    /** Answered by the state service within the last moments: it may be confirming cancellations now. */
    val mayConfirm: Boolean = false,
)

/** The newest word of the leader [of] that the sender had heard, by that one's clock, and its renewals as a deputy. */
internal data class HeartbeatEcho(
    val leader: Member,
    val atMs: Long,
    val renewals: Long,
)
