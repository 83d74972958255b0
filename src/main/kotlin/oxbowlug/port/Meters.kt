package oxbowlug.port

/** What the controller measures; the adapter publishes it. Called on the owner's event loop. */
internal interface Meters {
    /**
     * A scheduling round took [nanos] and priced [priced] machines, each counted once for a job and kind of capacity.
     */
    fun planned(
        nanos: Long,
        priced: Int,
    )

    /** One batch of events was processed in [nanos]. */
    fun stepped(nanos: Long)

    /** A tick came [millis] late, and whatever came with it waited as long for the event loop. */
    fun waited(millis: Long)

    /** The commit of a submission was settled, whatever its outcome, after [millis]. */
    fun committed(millis: Long)

    /** A user's request was refused; [reason] becomes a label, so it has to be one of a few fixed texts. */
    fun refused(reason: String)

    /** [invariant] was found violated. */
    fun violated(invariant: Invariant)
}
