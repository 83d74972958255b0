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

data class JobStatus(
    val id: JobId,
    val state: JobState,
    val done: Int,
    val running: Int,
)

object AnswerCodec {
    fun accepted(view: JobStatus): Map<String, Any?> = mapOf("id" to view.id.value, "stance" to view.state.wire)

    fun polled(view: JobStatus): Map<String, Any?> =
        mapOf(
            "id" to view.id.value,
            "stance" to view.state.wire,
            "done" to view.done,
            "running" to view.running,
        )

    fun redirect(label: String?): Map<String, Any?> = if (label == null) emptyMap() else mapOf("drover" to label)

    fun problem(text: String): Map<String, Any?> = mapOf("error" to text)
}
