package oxbowlug.port

/** Invariants that must hold under any failure outside this process. [label] is the name in logs and metrics. */
internal enum class Invariant(
    val label: String,
) {
    /**
     * A task attempt is only started after its placement is stored. Otherwise the next leader would not know of the
     * attempt.
     */
    STARTS_ARE_STORED("starts.are.stored"),

    /** A controller that renews a worker's lease also stops the cancelled work on that worker. */
    CANCELLED_WORK_IS_STOPPED("cancelled.work.is.stopped"),

    /** A task that runs on one machine is not placed on another one. */
    ONE_MACHINE_PER_TASK("one.place.a.task"),
}
