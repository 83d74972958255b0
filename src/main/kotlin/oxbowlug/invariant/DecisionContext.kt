package oxbowlug.invariant

/**
 * What a decision was taken from, for the log: in force, and for how long, and how old the copy of the state service
 * is. A line of it stands beside each decision that matters, so that a broken rule can be reconstructed.
 */
internal interface DecisionContext {
    /**
     * Whether this controller leads and believes in its lease at this moment. Asked right before whatever it allows:
     * asked once and kept through a long plan, the right had lapsed by the time it was used.
     */
    val mayLead: Boolean

    fun describe(): String
}
