package oxbowlug.scale

/** What goes wrong at the state service's stand-in for now; shares are those of its transactions. */
internal class StateFaults {
    /** Controllers that it refuses, by index, while it serves the others. */
    val refusedControllers = HashSet<Int>()

    /** Controllers whose reads of changes that wait for one get no answer. */
    val heldWatches = HashSet<Int>()
    var refusedWrites = 0.0
    var slowAnswers = 0.0
    var lostAnswers = 0.0

    /** Carried out later, after newer ones, and not answered. */
    var lateWrites = 0.0
}
