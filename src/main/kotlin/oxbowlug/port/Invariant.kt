package oxbowlug.port

/** What must hold whatever fails outside. [label] is what logs and metrics call it. */
internal enum class Invariant(
    val label: String,
) {
    /** A start that no stored record names is unknown to whoever leads next. */
    STARTS_ARE_STORED("starts.are.stored"),

    /** Whoever renews a worker's lease ends the cancelled work there. */
    CANCELLED_WORK_IS_STOPPED("cancelled.work.is.stopped"),

    /** A task that runs on one machine is not placed on another. */
    ONE_MACHINE_PER_TASK("one.place.a.task"),
}
