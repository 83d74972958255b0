package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.request.UserResponse
import oxbowlug.standin.HeartbeatPacing
import oxbowlug.standin.InvariantChecker
import oxbowlug.standin.SimJobs
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

/** Tests the checkers themselves: each of them reports exactly the violations that it is meant for. */
internal class RulesTest {
    private val time = VirtualTime(1)
    private val checker = InvariantChecker(time, mapOf("red" to 4.0), CANCEL_DEADLINE_MS)
    private val zones = listOf(Zone("a"), Zone("b"))
    private val type = MachineType(TypeName("g8"), 64.0, 8.0, 256.0, 200.0, 2.0, 20.0, 8.0, 8.0, zones)
    private val workers =
        List(3) { index ->
            SimWorker(
                time,
                TestJobBook(),
                { emptyList() },
                MachineId("host-00000$index"),
                type,
                zones[index % 2],
                false,
                leaseMs = 1_000_000,
                pacing = HeartbeatPacing.Fixed(1_000),
            )
        }
    private val progressChecks = ProgressChecks(time, checker, { workers }, mapOf("red" to 4.0), 0)
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

    private inner class TestJobBook : SimJobs {
        override fun spec(job: String): JobSpec? = checker.jobs[job]?.spec

        override fun runMs(job: String): Long = 10_000_000

        override fun onStarted(
            machine: SimWorker,
            attempt: AttemptId,
        ) = checker.started(machine, attempt)

        override fun onDone(attempt: AttemptId) = checker.done(attempt)
    }

    private fun submit(jobSpec: JobSpec = spec) {
        checker.jobs[jobSpec.id.value] = InvariantChecker.Known(jobSpec)
        checker.observed(jobSpec.id.value, UserResponse.Accepted(status(JobState.QUEUED)), time.nowMs)
    }

    private fun status(state: JobState) = JobStatus(spec.id, state, 0, 0)

    private fun answerPoll(
        state: JobState,
        requestedAtMs: Long = time.nowMs,
    ) = checker.observed(spec.id.value, UserResponse.Known(status(state)), requestedAtMs)

    private fun start(
        task: Int,
        machine: Int,
        attempt: Long = 1,
    ) {
        val command = WorkerCommand.Start(AttemptId(TaskId(spec.id, task), attempt))
        workers[machine].direct(FencingToken(1), 1, listOf(command)) { _, _ -> }
        advance(1)
    }

    /** Advances virtual time, which needs an event at the end. */
    private fun advance(ms: Long) {
        time.after(ms) {}
        time.runUntil(time.nowMs + ms)
    }

    private val dependency = spec.copy(id = JobId("run-dependency"), kind = JobKind.ARRAY)

    /** Submits a job that depends through another one on a cancelled job. */
    private fun submitWithCancelledDependency() {
        val middle = dependency.copy(id = JobId("run-middle"), dependsOn = listOf(dependency.id))
        submit(spec.copy(dependsOn = listOf(middle.id)))
        submit(middle)
        submit(dependency)
        checker.jobs.getValue(dependency.id.value).cancelRequested = true
        val cancelledStatus = JobStatus(dependency.id, JobState.CANCELLED, 0, 0)
        checker.observed(dependency.id.value, UserResponse.Known(cancelledStatus), time.nowMs)
    }

    private fun cancel() {
        checker.jobs.getValue(spec.id.value).cancelRequested = true
        answerPoll(JobState.CANCELLED)
    }

    @Test
    fun `each case breaks the expected rule and no other`() {
        class Case(
            val rule: String?,
            val name: String,
            val action: () -> Unit,
        )
        val cases =
            listOf(
                Case(null, "no violation") {
                    repeat(3) { start(it, it) }
                    checker.check(workers)
                },
                Case("ran_twice", "a task runs on two machines") {
                    start(0, 0)
                    start(0, 1, attempt = 2)
                },
                Case("quota", "a team uses more GPUs than its limit") {
                    submit(spec.copy(gpus = 2.0))
                    repeat(3) { start(it, 0) }
                    checker.check(workers)
                },
                Case("wrong_place", "a spread job has more than half of its tasks in one zone") {
                    submit(spec.copy(spread = true))
                    repeat(3) { start(it, 0) }
                },
                Case("wrong_place", "a one-zone job runs in two zones") {
                    submit(spec.copy(oneZone = true))
                    repeat(2) { start(it, it) }
                },
                Case("ran_cancelled", "a task still runs after the cancellation deadline") {
                    start(0, 0)
                    cancel()
                    advance(CANCEL_DEADLINE_MS + 1)
                    checker.check(workers)
                },
                Case("ran_cancelled", "a task starts after the cancellation deadline") {
                    cancel()
                    advance(CANCEL_DEADLINE_MS + 1)
                    start(0, 0)
                },
                Case(null, "no task runs after the cancellation deadline") {
                    cancel()
                    advance(CANCEL_DEADLINE_MS + 1)
                    checker.check(workers)
                },
                Case(
                    "forgotten",
                    "404 for an accepted job",
                ) { checker.observed(spec.id.value, UserResponse.NotFound, time.nowMs) },
                Case(
                    "forgotten",
                    "422 for an accepted job",
                ) { checker.observed(spec.id.value, UserResponse.Rejected("no"), time.nowMs) },
                Case("invented", "200 for a job that was never submitted") {
                    checker.observed("run-2", UserResponse.Known(status(JobState.QUEUED)), time.nowMs)
                },
                Case("not_done", "done before its tasks are done") { answerPoll(JobState.DONE) },
                Case("went_back", "cancelled without a request") { answerPoll(JobState.CANCELLED) },
                Case("went_back", "running after it was cancelled") {
                    cancel()
                    advance(10)
                    answerPoll(JobState.RUNNING)
                },
                Case(null, "a poll sent before the cancellation is answered after it") {
                    advance(10)
                    cancel()
                    answerPoll(JobState.RUNNING, requestedAtMs = time.nowMs - 5)
                },
                Case("too_early", "a task starts before a dependency is done") {
                    submit(spec.copy(dependsOn = listOf(dependency.id)))
                    submit(dependency)
                    start(0, 0)
                },
                Case(null, "a task starts after all dependencies are done") {
                    submit(spec.copy(dependsOn = listOf(dependency.id)))
                    submit(dependency)
                    repeat(dependency.tasks) { checker.done(AttemptId(TaskId(dependency.id, it), 1)) }
                    start(0, 0)
                },
                Case("orphaned", "queued after the cancellation deadline of an indirect dependency") {
                    submitWithCancelledDependency()
                    advance(CANCEL_DEADLINE_MS + 1)
                    answerPoll(JobState.QUEUED)
                },
                Case(null, "queued before the cancellation deadline of an indirect dependency") {
                    submitWithCancelledDependency()
                    advance(CANCEL_DEADLINE_MS - 1)
                    answerPoll(JobState.QUEUED)
                },
                Case(null, "cancelled after its dependency was cancelled") {
                    submitWithCancelledDependency()
                    answerPoll(JobState.CANCELLED)
                },
                Case("went_back", "accepted again after it was cancelled") {
                    cancel()
                    advance(10)
                    checker.observed(spec.id.value, UserResponse.Accepted(status(JobState.QUEUED)), time.nowMs)
                },
            )
        for (case in cases) {
            checker.ruleViolations.clear()
            checker.jobs.clear()
            for (worker in workers) worker.tasks.clear()
            submit()
            case.action()
            val violatedRules = checker.ruleViolations.map { it.substringAfter("ms ").substringBefore(':') }.distinct()
            assertEquals(listOfNotNull(case.rule), violatedRules, case.name)
        }
    }

    @Test
    fun `unanswered jobs, jobs left waiting and underserved groups are reported`() {
        submit()
        advance(74_000)
        progressChecks.check()
        assertEquals(emptyList<String>(), progressChecks.ruleViolations)
        advance(2_000)
        progressChecks.check()
        assertEquals(
            listOf("forgotten: run-1, no answers"),
            progressChecks.ruleViolations.map { it.substringAfter("ms ") },
        )
        progressChecks.ruleViolations.clear()
        answerPoll(JobState.QUEUED)
        advance(70_000)
        progressChecks.check()
        assertEquals(emptyList<String>(), progressChecks.ruleViolations, "the waiting time counts from the first check")
        advance(3_000)
        answerPoll(JobState.QUEUED)
        advance(20_000)
        progressChecks.check()
        assertEquals(
            listOf("left waiting: run-1 although a machine has capacity for it"),
            progressChecks.ruleViolations.map { it.substringAfter("ms ") },
        )
        val underserved = listOf("class ${spec.className}", "team red", "largest ${spec.className}")
        assertEquals(underserved.map { "$it: less than half served" }, progressChecks.underservedGroups())
        repeat(3) { start(it, it) }
        progressChecks.ruleViolations.clear()
        advance(1_000)
        progressChecks.check()
        assertEquals(emptyList<String>(), progressChecks.ruleViolations + progressChecks.underservedGroups())
    }

    @Test
    fun `a job at its team's limit isn't reported as left waiting, a late start of a largest job is reported`() {
        submit(spec.copy(tasks = 5))
        repeat(4) { start(it, 0) }
        progressChecks.check()
        advance(100_000)
        answerPoll(JobState.RUNNING)
        progressChecks.check()
        assertEquals(emptyList<String>(), progressChecks.ruleViolations)
        checker.jobs.clear()
        for (worker in workers) worker.tasks.clear()
        submit()
        advance(250_000)
        repeat(3) { start(it, it) }
        assertEquals(listOf("run-1: a largest job of its class, started too late"), progressChecks.underservedGroups())
    }

    private companion object {
        const val CANCEL_DEADLINE_MS = 30_000L
    }
}
