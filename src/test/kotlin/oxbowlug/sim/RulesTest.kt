package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.request.UserResponse
import oxbowlug.standin.HeartbeatPacing
import oxbowlug.standin.SimJobs
import oxbowlug.standin.InvariantChecker
import oxbowlug.standin.SimWorker
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.AttemptId
import oxbowlug.wire.FencingToken
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.JobState
import oxbowlug.wire.JobStatus
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.TaskId
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.Zone

/** The checkers themselves: each of them fires in the case that it is there for, and not beside it. */
internal class RulesTest {
    private val time = VirtualTime(1)
    private val checker = InvariantChecker(time, mapOf("red" to 4.0), CANCEL_MS)
    private val zones = listOf(Zone("a"), Zone("b"))
    private val type = MachineType(TypeName("g8"), 64.0, 8.0, 256.0, 200.0, 2.0, 20.0, 8.0, 8.0, zones)
    private val workers =
        List(3) { index ->
            SimWorker(
                time,
                Book(),
                { emptyList() },
                MachineId("host-00000$index"),
                type,
                zones[index % 2],
                false,
                leaseMs = 1_000_000,
                pacing = HeartbeatPacing.Fixed(1_000),
            )
        }
    private val serving = Serving(time, checker, { workers }, mapOf("red" to 4.0), 0)
    private val spec =
        JobSpecCodec.decode(JobSpecCodecTest.valid()).copy(
            id = JobId("run-1"),
            team = TeamName("red"),
            kind = JobKind.SERVICE,
            tasks = 3,
            cores = 1.0,
            gpus = 1.0,
            memoryGb = 1.0,
            imageGb = 0.0,
            types = null,
            zone = null,
            oneZone = false,
            spread = false,
        )

    private inner class Book : SimJobs {
        override fun spec(job: String): JobSpec? = checker.jobs[job]?.spec

        override fun runMs(job: String): Long = 10_000_000

        override fun onStarted(
            machine: SimWorker,
            attempt: AttemptId,
        ) = checker.started(machine, attempt)

        override fun onDone(attempt: AttemptId) = checker.done(attempt)
    }

    private fun submit(given: JobSpec = spec) {
        checker.jobs[given.id.value] = InvariantChecker.Known(given)
        checker.observed(given.id.value, UserResponse.Accepted(view(JobState.QUEUED)), time.nowMs)
    }

    private fun view(state: JobState) = JobStatus(spec.id, state, 0, 0)

    private fun tell(
        state: JobState,
        askedMs: Long = time.nowMs,
    ) = checker.observed(spec.id.value, UserResponse.Known(view(state)), askedMs)

    private fun start(
        task: Int,
        host: Int,
        attempt: Long = 1,
    ) {
        val command = WorkerCommand.Start(AttemptId(TaskId(spec.id, task), attempt))
        workers[host].direct(FencingToken(1), 1, listOf(command)) { _, _ -> }
        pass(1)
    }

    /** Time goes on with events only. */
    private fun pass(ms: Long) {
        time.after(ms) {}
        time.runUntil(time.nowMs + ms)
    }

    private val needed = spec.copy(id = JobId("run-needed"), kind = JobKind.ARRAY)

    /** The job needs one that needs one that its user cancelled. */
    private fun orphan() {
        val between = needed.copy(id = JobId("run-between"), dependsOn = listOf(needed.id))
        submit(spec.copy(dependsOn = listOf(between.id)))
        submit(between)
        submit(needed)
        checker.jobs.getValue(needed.id.value).cancelRequested = true
        val leadership = JobStatus(needed.id, JobState.CANCELLED, 0, 0)
        checker.observed(needed.id.value, UserResponse.Known(leadership), time.nowMs)
    }

    private fun cancel() {
        checker.jobs.getValue(spec.id.value).cancelRequested = true
        tell(JobState.CANCELLED)
    }

    @Test
    fun `each rule fires where it is broken, and only there`() {
        class Case(
            val rule: String?,
            val name: String,
            val play: () -> Unit,
        )
        val cases =
            listOf(
                Case(null, "all is well") {
                    repeat(3) { start(it, it) }
                    checker.check(workers)
                },
                Case("ran_twice", "a task on two machines") {
                    start(0, 0)
                    start(0, 1, attempt = 2)
                },
                Case("quota", "more than the team's limit") {
                    submit(spec.copy(gpus = 2.0))
                    repeat(3) { start(it, 0) }
                    checker.check(workers)
                },
                Case("wrong_place", "more than half in a zone") {
                    submit(spec.copy(spread = true))
                    repeat(3) { start(it, 0) }
                },
                Case("wrong_place", "two zones of a job for one") {
                    submit(spec.copy(oneZone = true))
                    repeat(2) { start(it, it) }
                },
                Case("ran_cancelled", "still there") {
                    start(0, 0)
                    cancel()
                    pass(CANCEL_MS + 1)
                    checker.check(workers)
                },
                Case("ran_cancelled", "starts too late") {
                    cancel()
                    pass(CANCEL_MS + 1)
                    start(0, 0)
                },
                Case(null, "gone in time") {
                    cancel()
                    pass(CANCEL_MS + 1)
                    checker.check(workers)
                },
                Case("forgotten", "404") { checker.observed(spec.id.value, UserResponse.NotFound, time.nowMs) },
                Case("forgotten", "422") { checker.observed(spec.id.value, UserResponse.Rejected("no"), time.nowMs) },
                Case("invented", "200 for nobody's job") {
                    checker.observed("run-2", UserResponse.Known(view(JobState.QUEUED)), time.nowMs)
                },
                Case("not_done", "done before its tasks") { tell(JobState.DONE) },
                Case("went_back", "cancelled by nobody") { tell(JobState.CANCELLED) },
                Case("went_back", "running again") {
                    cancel()
                    pass(10)
                    tell(JobState.RUNNING)
                },
                Case(null, "an answer that crosses the cancellation") {
                    pass(10)
                    cancel()
                    tell(JobState.RUNNING, askedMs = time.nowMs - 5)
                },
                Case("too_early", "a task starts while a job that it needs runs") {
                    submit(spec.copy(dependsOn = listOf(needed.id)))
                    submit(needed)
                    start(0, 0)
                },
                Case(null, "all that it needs is done") {
                    submit(spec.copy(dependsOn = listOf(needed.id)))
                    submit(needed)
                    repeat(needed.tasks) { checker.done(AttemptId(TaskId(needed.id, it), 1)) }
                    start(0, 0)
                },
                Case("orphaned", "queued long after a job that it needs through another one was cancelled") {
                    orphan()
                    pass(CANCEL_MS + 1)
                    tell(JobState.QUEUED)
                },
                Case(null, "queued shortly after a job that it needs was cancelled") {
                    orphan()
                    pass(CANCEL_MS - 1)
                    tell(JobState.QUEUED)
                },
                Case(null, "cancelled with a job that it needs") {
                    orphan()
                    tell(JobState.CANCELLED)
                },
                Case("went_back", "accepted once more") {
                    cancel()
                    pass(10)
                    checker.observed(spec.id.value, UserResponse.Accepted(view(JobState.QUEUED)), time.nowMs)
                },
            )
        for (case in cases) {
            checker.ruleViolations.clear()
            checker.jobs.clear()
            for (worker in workers) worker.tasks.clear()
            submit()
            case.play()
            val fired = checker.ruleViolations.map { it.substringAfter("ms ").substringBefore(':') }.distinct()
            assertEquals(listOfNotNull(case.rule), fired, case.name)
        }
    }

    @Test
    fun `spells without an answer, beside free room, and unserved groups are seen`() {
        submit()
        pass(74_000)
        serving.look()
        assertEquals(emptyList<String>(), serving.ruleViolations)
        pass(2_000)
        serving.look()
        assertEquals(listOf("forgotten: run-1, by all"), serving.ruleViolations.map { it.substringAfter("ms ") })
        serving.ruleViolations.clear()
        tell(JobState.QUEUED)
        pass(70_000)
        serving.look()
        assertEquals(emptyList<String>(), serving.ruleViolations, "seen waiting since the first look only")
        pass(3_000)
        tell(JobState.QUEUED)
        pass(20_000)
        serving.look()
        assertEquals(listOf("left waiting: run-1 beside free room"), serving.ruleViolations.map { it.substringAfter("ms ") })
        val unserved = listOf("class ${spec.className}", "team red", "largest ${spec.className}")
        assertEquals(unserved.map { "$it: less than half served" }, serving.neglected())
        repeat(3) { start(it, it) }
        serving.ruleViolations.clear()
        pass(1_000)
        serving.look()
        assertEquals(emptyList<String>(), serving.ruleViolations + serving.neglected())
    }

    @Test
    fun `a job at its team's limit isn't left waiting, and the largest have to begin in time`() {
        submit(spec.copy(tasks = 5))
        repeat(4) { start(it, 0) }
        serving.look()
        pass(100_000)
        tell(JobState.RUNNING)
        serving.look()
        assertEquals(emptyList<String>(), serving.ruleViolations)
        checker.jobs.clear()
        for (worker in workers) worker.tasks.clear()
        submit()
        pass(250_000)
        repeat(3) { start(it, it) }
        assertEquals(listOf("run-1: among the largest, began too late"), serving.neglected())
    }

    private companion object {
        const val CANCEL_MS = 30_000L
    }
}
