package oxbowlug.port

/**
 * The other controllers, by their labels. Called on the owner's event loop; nothing is answered or awaited. Messages to
 * one of them arrive in order, or not at all.
 */
internal interface PeerPort {
    /** Sends [notice] once, without a guarantee: whoever needs an acknowledgement sends it again. */
    fun send(
        label: String,
        notice: CancellationNotice,
    )

    /** The heartbeat of this controller has changed, and has to be sent at once instead of after its interval. */
    fun broadcastHeartbeat()
}
