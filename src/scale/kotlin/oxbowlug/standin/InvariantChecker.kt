package oxbowlug.standin

import oxbowlug.request.UserResponse
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.JobState
import oxbowlug.wire.JobStatus

/**
 * Checks the invariants of the platform's protocol against the tasks that run on the workers and the answers that users
 * receive. A violation is recorded under the name of its rule.
 */
internal class InvariantChecker(
    private val time: VirtualTime,
    /** Limits of GPUs in use, by the name of the team. */
    private val gpuLimits: Map<String, Double>,
    /** Deadline of cancellations: none of a job's tasks may run this long after a user first received "cancelled". */
    private val cancelMs: Long,
    /** Whether a stored record contains the attempt: the next leader can learn of it only from there. */
    private val isStored: (AttemptId) -> Boolean = { true },
) {
    /** A submitted job, with what its users and the workers have observed of it. */
    class Known(val spec: JobSpec) {
        /** When a user first received an answer that the job is accepted or known. */
        var acceptedAt: Long? = null
        val accepted: Boolean get() = acceptedAt != null
        var cancelRequested = false

        /** When a user first received the state cancelled. */
        var cancelledAt: Long? = null

        /** The last state that a user received. */
        var observed: JobState? = null

        /** When a user first received a final state: done or cancelled. */
        var finalSince: Long? = null

        /** When a user last received an answer that the job is accepted or known. */
        var answeredAt = 0L
        var firstStartAt: Long? = null

        /** Indexes of the tasks that a worker completed. */
        val done = HashSet<Int>()

        /** Indexes of the tasks that a worker started at least once. */
        val started = HashSet<Int>()

        /** All machines on which a task of the job was started. */
        val machines = LinkedHashSet<SimWorker>()
    }

    /** One entry per violation: "TIME ms RULE: DETAIL". */
    val ruleViolations = ArrayList<String>()
    val jobs = LinkedHashMap<String, Known>()
    var starts = 0
        private set

    /**
     * Starts of tasks after a user received the job's cancellation. They are no violation before the deadline: a start
     * command may still be in flight.
     */
    var startsAfterCancellation = 0
        private set

    private fun fail(rule: String, detail: String) {
        ruleViolations.add("${time.nowMs} ms $rule: $detail")
    }

    /** Records that a worker completed the task. */
    fun done(attempt: AttemptId) {
        jobs.getValue(attempt.task.job.value).done.add(attempt.task.index)
    }

    /** Records that a worker started the attempt, and checks the rules for starts. */
    fun started(machine: SimWorker, attempt: AttemptId) {
        starts++
        val job = jobs.getValue(attempt.task.job.value)
        if (job.cancelledAt != null) startsAfterCancellation++
        val spec = job.spec
        job.started.add(attempt.task.index)
        if (job.firstStartAt == null) job.firstStartAt = time.nowMs
        var tasksInZone = 1
        job.machines.add(machine)
        for (other in job.machines) {
            for (running in other.runningTasks()) {
                if (running.attempt.task.job != attempt.task.job) continue
                if (running.attempt == attempt && other === machine) continue
                if (running.attempt.task == attempt.task && other !== machine) {
                    fail("ran_twice", "$attempt on ${machine.id} while on ${other.id}")
                }
                if (other.zone == machine.zone) tasksInZone++
                if (spec.oneZone && other.zone != machine.zone) fail("wrong_place", "$attempt outside its job's zone")
            }
        }
        if (tasksInZone > spec.maxTasksPerZone) {
            fail("wrong_place", "$attempt is task $tasksInZone of $spec in ${machine.zone}")
        }
        checkConstraints(machine, attempt, spec)
        if (!isStored(attempt)) fail("orphaned", "$attempt starts on ${machine.id}, and no stored record contains it")
        val cancelledAt = job.cancelledAt
        if (cancelledAt != null && time.nowMs > cancelledAt + cancelMs) fail("ran_cancelled", "$attempt starts")
        for (needed in ancestors(job)) {
            if (needed.done.size < needed.spec.tasks) fail("too_early", "$attempt, while ${needed.spec.id} isn't done")
        }
    }

    private fun checkConstraints(machine: SimWorker, attempt: AttemptId, spec: JobSpec) {
        if (machine.spot && !spec.spot) fail("wrong_place", "$attempt on a spot machine")
        if (spec.zone != null && spec.zone != machine.zone) fail("wrong_place", "$attempt in ${machine.zone}")
        val types = spec.types
        if (types != null && machine.type.name !in types) fail("wrong_place", "$attempt on ${machine.type.name}")
    }

    /** All jobs that a job depends on, directly or transitively. */
    fun ancestors(job: Known): Set<Known> {
        val found = LinkedHashSet<Known>()
        val toVisit = ArrayDeque(listOf(job))
        while (toVisit.isNotEmpty()) {
            for (id in toVisit.removeFirst().spec.dependsOn) {
                val needed = jobs[id.value] ?: continue
                if (found.add(needed)) toVisit.add(needed)
            }
        }
        return found
    }

    /** Whether a user requested to cancel the job itself or an ancestor that isn't done. */
    fun mayBeCancelled(job: Known): Boolean =
        job.cancelRequested || ancestors(job).any { it.cancelRequested && it.observed != JobState.DONE }

    /** Checks the tasks that run now: GPU limits of the teams, and deadlines of cancelled jobs. */
    fun check(workers: List<SimWorker>) {
        val gpus = HashMap<String, Double>()
        for (worker in workers) {
            for (running in worker.runningTasks()) {
                val job = jobs.getValue(running.attempt.task.job.value)
                gpus.merge(job.spec.team.value, job.spec.gpus, Double::plus)
                val cancelledAt = job.cancelledAt ?: continue
                if (time.nowMs > cancelledAt + cancelMs) fail("ran_cancelled", "${running.attempt} on ${worker.id}")
            }
        }
        for ((team, used) in gpus) {
            if (used > (gpuLimits[team] ?: Double.MAX_VALUE) + 1e-6) {
                val placements = workers.associate { host ->
                    host.id to host.runningTasks().map { it.attempt }.filter {
                        jobs.getValue(it.task.job.value).spec.team.value == team
                    }
                }
                fail("quota", "$team uses $used GPUs: ${placements.filterValues { it.isNotEmpty() }}")
            }
        }
    }

    private val unstoredSince = HashMap<Pair<SimWorker, AttemptId>, Long>()

    /** Checks that no task runs longer than the deadline for cancellations without a stored record of its attempt. */
    fun checkStored(workers: List<SimWorker>) {
        val running = workers.flatMap { worker -> worker.runningTasks().map { worker to it.attempt } }
        val unstored = running.filterNot { (_, attempt) -> isStored(attempt) }
        unstoredSince.keys.retainAll(unstored.toSet())
        for (placement in unstored) {
            val (worker, attempt) = placement
            val since = unstoredSince.getOrPut(placement) { time.nowMs }
            if (time.nowMs - since > cancelMs) fail("orphaned", "$attempt runs on ${worker.id}, but isn't stored")
        }
    }

    /** Records and checks an answer that a user received to a request sent at [askedMs]. */
    fun observed(id: String, answer: UserResponse, askedMs: Long) {
        val job = jobs[id]
        if (answer is UserResponse.Accepted || answer is UserResponse.Known) job?.answeredAt = time.nowMs
        when (answer) {
            is UserResponse.Accepted -> observeAccepted(id, jobs.getValue(id), askedMs)
            is UserResponse.Known ->
                if (job == null) fail("invented", id) else observeState(id, job, answer.status, askedMs)
            UserResponse.NotFound -> if (wasAcceptedBefore(job, askedMs)) fail("forgotten", "$id is answered 404")
            is UserResponse.Rejected -> if (wasAcceptedBefore(job, askedMs)) fail("forgotten", "$id is answered 422")
            is UserResponse.Malformed -> if (wasAcceptedBefore(job, askedMs)) fail("forgotten", "$id is answered 400")
            is UserResponse.Overloaded, is UserResponse.Unavailable -> Unit
        }
    }

    /**
     * Whether the job was accepted before the request was sent. The answer to an earlier request may have been sent
     * before the acceptance and arrive after it.
     */
    private fun wasAcceptedBefore(job: Known?, askedMs: Long) = job?.acceptedAt?.let { askedMs >= it } ?: false

    private fun observeAccepted(id: String, job: Known, askedMs: Long) {
        if (job.acceptedAt == null) job.acceptedAt = time.nowMs
        val finalSince = job.finalSince
        if (finalSince != null && askedMs >= finalSince) fail("went_back", "$id was ${job.observed} and is accepted")
    }

    private fun observeState(id: String, job: Known, newStatus: JobStatus, askedMs: Long) {
        if (job.acceptedAt == null) job.acceptedAt = time.nowMs
        val previousState = job.observed
        val finalSince = job.finalSince
        if (finalSince != null && newStatus.state != previousState) {
            // An answer to a request sent before the final one was received may be older than it.
            if (askedMs >= finalSince) fail("went_back", "$id was $previousState and is ${newStatus.state}")
            return
        }
        if (newStatus.state == JobState.CANCELLED) {
            if (!job.cancelRequested && ancestors(job).none {
                    it.cancelRequested
                }
            )
                fail("went_back", "$id is answered as cancelled, but no user requested it")
            if (job.cancelledAt == null) job.cancelledAt = time.nowMs
        }
        if (newStatus.state == JobState.DONE && job.done.size < job.spec.tasks) {
            fail("not_done", "$id has ${job.done.size} of ${job.spec.tasks} tasks done")
        }
        job.observed = newStatus.state
        val isFinal = newStatus.state == JobState.DONE || newStatus.state == JobState.CANCELLED
        if (!isFinal) checkOrphaned(id, job, askedMs)
        if (isFinal && finalSince == null) job.finalSince = time.nowMs
    }

    private fun checkOrphaned(id: String, job: Known, askedMs: Long) {
        val firstCancelledAt = ancestors(job).mapNotNull { it.cancelledAt }.minOrNull() ?: return
        if (askedMs > firstCancelledAt + cancelMs) fail("orphaned", "$id is ${job.observed}, an ancestor is cancelled")
    }

    /**
     * Accepted jobs without a requested cancellation that are not served: arrays that are not done, services of which
     * some task never started.
     */
    fun unfinished(): List<String> = jobs.filterValues { job ->
        job.accepted && job.cancelledAt == null && !mayBeCancelled(job) &&
            if (job.spec.kind == JobKind.ARRAY) job.observed != JobState.DONE else job.started.size < job.spec.tasks
    }.keys.toList()
}
