package oxbowlug.scale

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.lease.HeartbeatResponse
import oxbowlug.wire.AttemptId
import oxbowlug.wire.Cbor
import oxbowlug.wire.Change
import oxbowlug.wire.Condition
import oxbowlug.wire.ExitCause
import oxbowlug.wire.FencingToken
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineId
import oxbowlug.wire.StateCodec
import oxbowlug.wire.TaskId
import oxbowlug.wire.TaskState
import oxbowlug.wire.TaskStatus
import oxbowlug.wire.Transaction
import oxbowlug.wire.TypeName
import oxbowlug.wire.WorkerCodec
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone

/** What the stand-ins encode is what the service decodes, and the other way round. */
internal class WireTest {
    private fun throughCbor(value: Map<String, Any?>) = Cbor.decode(Cbor.encode(value))

    private val attempt = AttemptId(TaskId(JobId("run-1"), 3), 2)

    @Test
    fun `a report comes back as it was`() {
        val report =
            WorkerHeartbeat(
                MachineId("host-1"),
                "127.64.0.1:9000",
                TypeName("t"),
                Zone("z"),
                false,
                2,
                7,
                FencingToken(41),
                12.5,
                listOf(
                    TaskStatus(attempt, TaskState.RUNNING, null, saved = false),
                    TaskStatus(AttemptId(attempt.task, 1), TaskState.EXITED, ExitCause.STOPPED, saved = true),
                ),
            )
        assertEquals(report, WorkerCodec.decodeHeartbeat(throughCbor(Wire.encodeReport(report))))
    }

    @Test
    fun `answers and their commands are understood`() {
        val commands =
            listOf(
                WorkerCommand.Start(attempt),
                WorkerCommand.Stop(attempt, 10.0),
                WorkerCommand.Forget(attempt),
            )
        val answer = throughCbor(WorkerCodec.encodeResponse(FencingToken(9), commands))
        assertEquals(HeartbeatResponse.Renewed(FencingToken(9), commands), Wire.decodeAnswer(200, answer))
        assertEquals(HeartbeatResponse.Redirect("n1"), Wire.decodeAnswer(421, mapOf("drover" to "n1")))
        assertEquals(HeartbeatResponse.Redirect(null), Wire.decodeAnswer(421, emptyMap()))
        assertEquals(HeartbeatResponse.Unavailable, Wire.decodeAnswer(503, emptyMap()))
    }

    @Test
    fun `a transaction comes back as it was`() {
        val transaction =
            Transaction(
                listOf(Condition("a", 0), Condition("b", 7)),
                listOf(Change.Put("a", mapOf("x" to 1L), lease = 4), Change.Put("c", emptyMap()), Change.Delete("b")),
            )
        assertEquals(transaction, Wire.decodeTransaction(throughCbor(StateCodec.encode(transaction))))
    }
}
