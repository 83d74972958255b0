package oxbowlug.port

/** What the controller measures; the adapter publishes it. Called on the owner's event loop. */
internal interface Meters {
    /**
     * A scheduling round took [nanos] and priced [priced] machines, each counted once for a job and kind of capacity.
     */
    fun recordPlan(
        nanos: Long,
        priced: Int,
    )

    /** One batch of events was processed in [nanos]. */
    fun recordStep(nanos: Long)

    /** A tick came [millis] late, and whatever came with it waited as long for the event loop. */
    fun recordQueueDelay(millis: Long)

    /** The commit of a submission was settled, whatever its outcome, after [millis]. */
    fun recordCommit(millis: Long)

    /** A user's request was refused; [reason] becomes a label, so it has to be one of a few fixed texts. */
    fun recordRefusal(reason: String)

    /** [invariant] was found violated. */
    fun recordViolation(invariant: Invariant)
}
