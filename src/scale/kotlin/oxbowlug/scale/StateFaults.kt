package oxbowlug.scale

/** What goes wrong at the state service's stand-in for now; shares are those of its transactions. */
internal class StateFaults {
    /** Controllers that it refuses, by index, while it serves the others. */
    val refusedControllers = HashSet<Int>()

    /** Controllers whose reads of changes that wait for one get no answer. */
    val unansweredWatches = HashSet<Int>()
    var refusedWrites = 0.0
    var slowWriteAnswers = 0.0
    var lostWriteAnswers = 0.0

    /** Carried out later, after newer ones, and not answered. */
    var delayedWrites = 0.0
}
