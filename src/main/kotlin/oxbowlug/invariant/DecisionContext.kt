package oxbowlug.invariant

/**
 * What a decision was based on, for the log: the role, the rest of the lease, and the staleness of the state cache.
 * It stands beside each decision that matters, so that a broken rule can be reconstructed.
 */
internal interface DecisionContext {
    /**
     * Whether this controller leads and holds a valid lease at this moment. Asked right before whatever it allows:
     * asked once and kept through a long plan, the right had lapsed by the time it was used.
     */
    val mayLead: Boolean

    /** As key=value pairs, for the end of a log line. */
    fun describe(): String
}
