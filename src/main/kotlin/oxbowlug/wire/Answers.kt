package oxbowlug.wire

/** What a user is told about a job. */
enum class JobState(
    val wire: String,
) {
    QUEUED("queued"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("withdrawn"),
}

/** What a user is told about a job: its state, and how many of its tasks are done and running. */
data class JobStatus(
    val id: JobId,
    val state: JobState,
    val done: Int,
    val running: Int,
)

/** Bodies of the answers to users, and of redirects of workers. */
object ResponseCodec {
    /** The answer to a submission that was accepted now, or to a cancellation. */
    fun accepted(view: JobStatus): Map<String, Any?> = mapOf("id" to view.id.value, "stance" to view.state.wire)

    /** The answer to a poll. */
    fun polled(view: JobStatus): Map<String, Any?> =
        mapOf(
            "id" to view.id.value,
            "stance" to view.state.wire,
            "done" to view.done,
            "running" to view.running,
        )

    /** The label of the controller that answers instead; null: none is known. */
    fun redirect(label: String?): Map<String, Any?> = if (label == null) emptyMap() else mapOf("drover" to label)

    /** Why a request was refused. */
    fun problem(text: String): Map<String, Any?> = mapOf("error" to text)
}
