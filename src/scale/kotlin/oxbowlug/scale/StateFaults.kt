package oxbowlug.scale

/** The faults that the state service's stand-in injects at present. Probabilities apply to each transaction. */
internal class StateFaults {
    /** Indexes of the controllers whose calls it refuses. */
    val refusedControllers = HashSet<Int>()

    /** Indexes of the controllers whose watches it doesn't answer. */
    val unansweredWatches = HashSet<Int>()

    /** Probability that a transaction is refused. */
    var refusedWrites = 0.0

    /** Probability that a transaction is applied at once and answered late. */
    var slowWriteAnswers = 0.0

    /** Probability that a transaction is applied and not answered. */
    var lostWriteAnswers = 0.0

    /** Probability that a transaction is applied late, after newer ones, and not answered. */
    var delayedWrites = 0.0
}
