package oxbowlug.port

/** Metrics that the controller records. Called on the event loop that owns the controller's state. */
internal interface Meters {
    /**
     * Records a scheduling round that took [nanos] and computed the cost of [priced] machines, each counted once for
     * every job and kind of capacity.
     */
    fun recordPlan(
        nanos: Long,
        priced: Int,
    )

    /** Records a batch of events that the event loop processed in [nanos]. */
    fun recordStep(nanos: Long)

    /** Records that a tick ran [millis] late: other events waited about as long for the event loop. */
    fun recordQueueDelay(millis: Long)

    /** Records the commit of a submission that completed after [millis], with any outcome. */
    fun recordCommit(millis: Long)

    /** Counts a rejected user request; [reason] becomes a label value, so it must be one of a few fixed texts. */
    fun recordRefusal(reason: String)

    /** Counts a violation of [invariant]. */
    fun recordViolation(invariant: Invariant)
}
