package oxbowlug.invariant

/**
 * What this controller's decisions are based on: its role, the remaining time of its lease, and the staleness of its
 * state cache. Each important decision is logged together with this context, so that the cause of a violated invariant
 * can be reconstructed from the logs.
 */
internal interface DecisionContext {
    /**
     * Whether this controller leads and holds a valid lease at this moment. Callers check it immediately before each
     * action that requires it: a result kept during a long planning run was outdated when it was used, because the
     * lease had expired in the meantime.
     */
    val mayLead: Boolean

    /** The context as key=value pairs, to append to a log line. */
    fun describe(): String
}
