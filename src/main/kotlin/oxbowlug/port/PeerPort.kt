package oxbowlug.port

/**
 * Sends messages to the other controllers, which are addressed by their labels. Called on the event loop that owns the
 * controller's state. Sending is fire-and-forget: calls return at once and report no outcome. Messages to the same
 * controller arrive in order or are lost; only one that was sent before a reconnect may arrive late.
 */
internal interface PeerPort {
    /**
     * Sends [notice] once to the controller [label]; a caller that needs an acknowledgement retries until it has one.
     */
    fun send(
        label: String,
        notice: CancellationNotice,
    )

    /** Sends this controller's heartbeat to all others now, because it has changed, instead of at the next interval. */
    fun broadcastHeartbeat()
}
