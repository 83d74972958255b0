package oxbowlug.standin

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.lease.HeartbeatResponse
import oxbowlug.wire.AttemptId
import oxbowlug.wire.FencingToken
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpec
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.TaskId
import oxbowlug.wire.TypeName
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone

/** Guards the pacing of a simulated worker's heartbeats against deviations from the published protocol. */
internal class HeartbeatPacingTest {
    private val time = VirtualTime(7)
    private val zone = Zone("a")
    private val type = MachineType(TypeName("c"), 64.0, 0.0, 256.0, 200.0, 1.0, 3.0, 1.0, 8.0, listOf(zone))
    private val spec: JobSpec =
        JobSpecCodec.decode(JobSpecCodecTest.valid()).copy(cores = 1.0, gpus = 0.0, imageGb = 0.0)
    private val targets = listOf(Controller("n0"), Controller("n1"))
    private val worker =
        SimWorker(
            time,
            TestJobs(),
            { targets },
            MachineId("host-000001"),
            type,
            zone,
            false,
            LEASE_MS,
            HeartbeatPacing.Protocol(INTERVAL_MS),
        )

    private inner class Controller(
        override val label: String,
    ) : HeartbeatTarget {
        var answer: HeartbeatResponse? = HeartbeatResponse.Renewed(FencingToken(1), emptyList())
        var isUnresponsive = false
        val receivedAt = ArrayList<Long>()

        override fun receive(
            workerHeartbeat: WorkerHeartbeat,
            answer: (HeartbeatResponse?) -> Unit,
        ) {
            receivedAt.add(time.nowMs)
            if (!isUnresponsive) answer(this.answer)
        }
    }

    private inner class TestJobs : SimJobs {
        override fun spec(job: String): JobSpec = spec

        override fun runMs(job: String): Long = 700

        override fun onStarted(
            machine: SimWorker,
            attempt: AttemptId,
        ) = Unit

        override fun onDone(attempt: AttemptId) = Unit
    }

    private fun intervals(times: List<Long>) = times.zipWithNext { one, next -> next - one }

    @Test
    fun `without changes a worker sends a heartbeat each interval, with a jitter of a quarter`() {
        worker.boot()
        time.advanceTo(60_000)
        val intervals = intervals(targets[0].receivedAt).drop(2)
        val slack = 130
        assertTrue(intervals.all { it in INTERVAL_MS * 3 / 4..INTERVAL_MS * 5 / 4 + slack }, "$intervals")
        assertTrue(intervals.max() - intervals.min() > INTERVAL_MS / 5, "no jitter: $intervals")
    }

    @Test
    fun `changes trigger heartbeats within half a second and not more often`() {
        worker.boot()
        time.advanceTo(10_000)
        val heartbeatsBefore = targets[0].receivedAt.size
        val starts = (0 until 8).map { WorkerCommand.Start(AttemptId(TaskId(JobId("run-1"), it), 1)) }
        for ((index, start) in starts.withIndex()) {
            time.after(index * 100L) { worker.direct(FencingToken(1), 1, listOf(start)) { _, _ -> } }
        }
        time.advanceTo(13_000)
        val intervals = intervals(targets[0].receivedAt.drop(heartbeatsBefore))
        assertTrue(intervals.isNotEmpty() && intervals.all { it >= 500 }, "$intervals")
        assertTrue(intervals.first() <= 650, "$intervals")
    }

    @Test
    fun `a worker follows a redirect within half a second, and retries any other failure after a second`() {
        targets[0].answer = HeartbeatResponse.Redirect("n1")
        worker.boot()
        time.advanceTo(1_000)
        assertEquals(1, targets[0].receivedAt.size)
        assertTrue(targets[1].receivedAt.first() - targets[0].receivedAt.first() <= 620, "${targets[1].receivedAt}")
        targets[1].answer = HeartbeatResponse.Unavailable
        targets[0].answer = HeartbeatResponse.Unavailable
        time.advanceTo(20_000)
        val receivedByAny = (targets[0].receivedAt + targets[1].receivedAt).sorted().filter { it > 5_000 }
        assertTrue(intervals(receivedByAny).all { it in 1_000..1_130 }, "${intervals(receivedByAny)}")
    }

    @Test
    fun `a worker leaves an unresponsive controller after a timeout of four seconds and a delay of one`() {
        worker.boot()
        time.advanceTo(5_000)
        targets[0].isUnresponsive = true
        time.advanceTo(20_000)
        val last = targets[0].receivedAt.last()
        val next = targets[1].receivedAt.first { it > last }
        assertTrue(next - last in 5_000..5_200, "${next - last} ms")
    }

    @Test
    fun `without renewal a worker's tasks end with the lease and a new incarnation begins`() {
        worker.boot()
        time.advanceTo(3_000)
        val start = WorkerCommand.Start(AttemptId(TaskId(JobId("run-1"), 0), 1))
        worker.direct(FencingToken(1), 1, listOf(start)) { _, _ -> }
        for (target in targets) target.isUnresponsive = true
        time.advanceTo(3_000 + LEASE_MS + 500)
        assertEquals(0, worker.tasks.size)
        assertEquals(2, worker.newHeartbeat().incarnation)
    }

    private companion object {
        const val INTERVAL_MS = 2_000L
        const val LEASE_MS = 10_000L
    }
}
