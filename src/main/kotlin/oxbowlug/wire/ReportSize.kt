package oxbowlug.wire

/**
 * Upper bounds of the size of a worker's heartbeat, which is a request like others: one that is larger than the
 * protocol allows is refused by every controller, and the worker's lease ends.
 */
object ReportSize {
    /** The largest body of a request, and of a response to a worker or user. */
    const val MAX_BODY_BYTES = 64 * 1024

    /** For the fields that describe the machine. */
    private const val MACHINE_BYTES = 2 * 1024

    /** What the tasks in a heartbeat may take together. */
    const val MAX_TASK_BYTES = MAX_BODY_BYTES - MACHINE_BYTES

    /** A task's entry without its job's id: in its longest state, with an attempt number of ten digits. */
    private val entryBytes =
        mapOf(
            "furrow" to "/${JobSpecCodec.MAX_TASKS}",
            "try" to 9_999_999_999L,
            "stance" to "flushing",
            "cause" to "unknown",
            "saved" to false,
        ).sizeAsJson() + SEPARATOR_BYTES

    private const val SEPARATOR_BYTES = 2

    /** The bytes that a task of [job] takes in a heartbeat, running or exited. */
    fun taskBytes(job: JobId): Int = entryBytes + job.value.length
}
