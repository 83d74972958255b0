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

/** A worker that reports as the protocol has it. */
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
            Book(),
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
        var isSilent = false
        val at = ArrayList<Long>()

        override fun receive(
            workerHeartbeat: WorkerHeartbeat,
            answer: (HeartbeatResponse?) -> Unit,
        ) {
            at.add(time.nowMs)
            if (!isSilent) answer(this.answer)
        }
    }

    private inner class Book : SimJobs {
        override fun spec(job: String): JobSpec = spec

        override fun runMs(job: String): Long = 700

        override fun onStarted(
            machine: SimWorker,
            attempt: AttemptId,
        ) = Unit

        override fun onDone(attempt: AttemptId) = Unit
    }

    private fun gaps(times: List<Long>) = times.zipWithNext { one, next -> next - one }

    @Test
    fun `with nothing new it reports each interval, give or take a quarter`() {
        worker.boot()
        time.advanceTo(60_000)
        val gaps = gaps(targets[0].at).drop(2)
        val slack = 130
        assertTrue(gaps.all { it in INTERVAL_MS * 3 / 4..INTERVAL_MS * 5 / 4 + slack }, "$gaps")
        assertTrue(gaps.max() - gaps.min() > INTERVAL_MS / 5, "it varies: $gaps")
    }

    @Test
    fun `changes are reported within half a second and not more often`() {
        worker.boot()
        time.advanceTo(10_000)
        val before = targets[0].at.size
        val starts = (0 until 8).map { WorkerCommand.Start(AttemptId(TaskId(JobId("run-1"), it), 1)) }
        for ((index, start) in starts.withIndex()) {
            time.after(index * 100L) { worker.direct(FencingToken(1), 1, listOf(start)) { _, _ -> } }
        }
        time.advanceTo(13_000)
        val gaps = gaps(targets[0].at.drop(before))
        assertTrue(gaps.isNotEmpty() && gaps.all { it >= 500 }, "$gaps")
        assertTrue(gaps.first() <= 650, "$gaps")
    }

    @Test
    fun `a redirect is followed within half a second, and any other failure after a second`() {
        targets[0].answer = HeartbeatResponse.Redirect("n1")
        worker.boot()
        time.advanceTo(1_000)
        assertEquals(1, targets[0].at.size)
        assertTrue(targets[1].at.first() - targets[0].at.first() <= 620, "${targets[1].at}")
        targets[1].answer = HeartbeatResponse.Unavailable
        targets[0].answer = HeartbeatResponse.Unavailable
        time.advanceTo(20_000)
        val all = (targets[0].at + targets[1].at).sorted().filter { it > 5_000 }
        assertTrue(gaps(all).all { it in 1_000..1_130 }, "${gaps(all)}")
    }

    @Test
    fun `a silent controller is left after four seconds and one more`() {
        worker.boot()
        time.advanceTo(5_000)
        targets[0].isSilent = true
        time.advanceTo(20_000)
        val last = targets[0].at.last()
        val next = targets[1].at.first { it > last }
        assertTrue(next - last in 5_000..5_200, "${next - last} ms")
    }

    @Test
    fun `without renewal its tasks end with the lease and a new incarnation begins`() {
        worker.boot()
        time.advanceTo(3_000)
        val start = WorkerCommand.Start(AttemptId(TaskId(JobId("run-1"), 0), 1))
        worker.direct(FencingToken(1), 1, listOf(start)) { _, _ -> }
        for (target in targets) target.isSilent = true
        time.advanceTo(3_000 + LEASE_MS + 500)
        assertEquals(0, worker.tasks.size)
        assertEquals(2, worker.account().incarnation)
    }

    private companion object {
        const val INTERVAL_MS = 2_000L
        const val LEASE_MS = 10_000L
    }
}
