package oxbowlug.wire

/** A job's state in responses to users; [wire] is its value in the protocol. */
enum class JobState(
    val wire: String,
) {
    QUEUED("queued"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("withdrawn"),
}

/** A job's state in responses to users, with the number of its tasks that are done and that are running. */
data class JobStatus(
    val id: JobId,
    val state: JobState,
    val done: Int,
    val running: Int,
)

/** Encodes the bodies of responses to users, and of redirects of workers. */
object ResponseCodec {
    /** The response to a newly accepted submission, or to a cancellation. */
    fun accepted(status: JobStatus): Map<String, Any?> = mapOf("id" to status.id.value, "stance" to status.state.wire)

    /** The response to a poll, or to a repeated submission. */
    fun polled(status: JobStatus): Map<String, Any?> =
        mapOf(
            "id" to status.id.value,
            "stance" to status.state.wire,
            "done" to status.done,
            "running" to status.running,
        )

    /** A redirect to the controller with [label], which can respond instead; null if none is known. */
    fun redirect(label: String?): Map<String, Any?> = if (label == null) emptyMap() else mapOf("drover" to label)

    /** The reason why a request was refused. */
    fun problem(text: String): Map<String, Any?> = mapOf("error" to text)
}
