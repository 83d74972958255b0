package oxbowlug.port

import oxbowlug.record.Member

/**
 * The heartbeat that controllers send to one another at an interval and when the leader changes: the sender's identity,
 * the newest epoch and leader that it knows, and whether the state service answers it.
 */
internal data class PeerHeartbeat(
    val sender: Member,
    val epoch: Long,
    val leader: Member?,
    val reachesState: Boolean,
    /** Send time by the sender's steady clock; comparable only between heartbeats of the same incarnation. */
    val sendTimeMs: Long = 0,
    /** Echoes the newest heartbeat that the sender has received from a leader; null if there was none yet. */
    val echo: HeartbeatEcho? = null,
    /** Whether the sender has confirmed a cancellation that the leader hasn't acknowledged yet. */
    val hasUnacknowledgedCancellations: Boolean = false,
    /**
     * Whether the state service answered the sender so recently that the sender may be confirming cancellations to
     * users now.
     */
    val mayConfirmCancellations: Boolean = false,
)

/**
 * Echo of the leader's heartbeats in a peer's heartbeat. [sendTimeMs] is the send time, by the clock of [leader], of
 * the newest heartbeat that the peer has received from it. [renewals] counts the worker leases that the peer has
 * renewed as a lease renewal delegate in its current incarnation.
 */
internal data class HeartbeatEcho(
    val leader: Member,
    val sendTimeMs: Long,
    val renewals: Long,
)
