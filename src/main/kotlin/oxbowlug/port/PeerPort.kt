package oxbowlug.port

/** The other controllers, by their labels. Words to one of them arrive in order, or not at all. */
internal interface PeerPort {
    fun send(
        label: String,
        notice: CancellationNotice,
    )

    /** What [Controller.heartbeat] says has changed, and they should hear of it at once. */
    fun heartbeatChanged()
}
