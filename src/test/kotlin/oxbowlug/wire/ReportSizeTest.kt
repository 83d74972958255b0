package oxbowlug.wire

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.scale.StandInCodec

/** The bounds by which tasks are counted hold for whole heartbeats. */
internal class ReportSizeTest {
    private fun heartbeat(tasks: List<TaskStatus>) =
        WorkerHeartbeat(
            MachineId("h".repeat(100)),
            "255.255.255.255:65535",
            TypeName("t".repeat(100)),
            Zone("z".repeat(100)),
            false,
            Long.MAX_VALUE,
            Long.MAX_VALUE,
            FencingToken(Long.MAX_VALUE),
            123_456.789,
            tasks,
        )

    @Test
    fun `a machine filled with tasks in their longest states has a heartbeat that a request may hold`() {
        for (idLength in listOf(1, 10, 100)) {
            val job = JobId("j".repeat(idLength))
            val count = ReportSize.MAX_TASK_BYTES / ReportSize.taskBytes(job)
            for (state in TaskState.entries) {
                for (cause in listOf(null) + ExitCause.entries) {
                    val tasks =
                        List(count) { index ->
                            val attempt = AttemptId(TaskId(job, 99_999 - index), 9_999_999_999)
                            TaskStatus(attempt, state, cause, saved = true)
                        }
                    val bytes = StandInCodec.encodeHeartbeat(heartbeat(tasks)).sizeAsJson()
                    assertTrue(bytes <= ReportSize.MAX_BODY_BYTES, "$bytes bytes for $count tasks, $state $cause")
                }
            }
            assertTrue(count >= 300, "only $count tasks with ids of $idLength characters")
        }
    }
}
