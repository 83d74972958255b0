package oxbowlug.standin

import oxbowlug.request.UserResponse
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.JobState
import oxbowlug.wire.JobStatus

/** The protocol's rules, checked against what the workers and the users really see. */
internal class InvariantChecker(
    private val time: VirtualTime,
    private val limits: Map<String, Double>,
    private val cancelMs: Long,
    /** Whether a stored record names the attempt: only then does whoever leads next know of it. */
    private val isStored: (AttemptId) -> Boolean = { true },
) {
    class Known(val spec: JobSpec) {
        /** When a user was first told that it is known. */
        var acceptedAt: Long? = null
        val accepted: Boolean get() = acceptedAt != null
        var cancelRequested = false
        var cancelledAt: Long? = null
        var observed: JobState? = null

        /** When a user heard that it is over. */
        var finalSince: Long? = null

        /** When a user last got an answer about it. */
        var answeredAt = 0L
        var firstStartAt: Long? = null
        val done = HashSet<Int>()
        val started = HashSet<Int>()

        /** Every machine on which a task of it was started. */
        val places = LinkedHashSet<SimWorker>()
    }

    val ruleViolations = ArrayList<String>()
    val jobs = LinkedHashMap<String, Known>()
    var starts = 0
        private set

    /** Counted, not broken: a command in flight may still start something. */
    var startsAfterCancellation = 0
        private set

    private fun fail(rule: String, what: String) {
        ruleViolations.add("${time.nowMs} ms $rule: $what")
    }

    fun done(attempt: AttemptId) {
        jobs.getValue(attempt.task.job.value).done.add(attempt.task.index)
    }

    fun started(machine: SimWorker, attempt: AttemptId) {
        starts++
        val job = jobs.getValue(attempt.task.job.value)
        if (job.cancelledAt != null) startsAfterCancellation++
        val spec = job.spec
        job.started.add(attempt.task.index)
        if (job.firstStartAt == null) job.firstStartAt = time.nowMs
        var inZone = 1
        job.places.add(machine)
        for (other in job.places) {
            for (running in other.runningTasks()) {
                if (running.attempt.task.job != attempt.task.job) continue
                if (running.attempt == attempt && other === machine) continue
                if (running.attempt.task == attempt.task && other !== machine) {
                    fail("ran_twice", "$attempt on ${machine.id} while on ${other.id}")
                }
                if (other.zone == machine.zone) inZone++
                if (spec.oneZone && other.zone != machine.zone) fail("wrong_place", "$attempt outside its job's zone")
            }
        }
        if (inZone > spec.maxTasksPerZone) fail("wrong_place", "$attempt is number $inZone of $spec in ${machine.zone}")
        checkMachine(machine, attempt, spec)
        if (!isStored(attempt)) fail("orphaned", "$attempt starts on ${machine.id}, and no stored record names it")
        val cancelledAt = job.cancelledAt
        if (cancelledAt != null && time.nowMs > cancelledAt + cancelMs) fail("ran_cancelled", "$attempt starts")
        for (needed in ancestors(job)) {
            if (needed.done.size < needed.spec.tasks) fail("too_early", "$attempt, while ${needed.spec.id} isn't done")
        }
    }

    private fun checkMachine(machine: SimWorker, attempt: AttemptId, spec: JobSpec) {
        if (machine.spot && !spec.spot) fail("wrong_place", "$attempt on a spot machine")
        if (spec.zone != null && spec.zone != machine.zone) fail("wrong_place", "$attempt in ${machine.zone}")
        val types = spec.types
        if (types != null && machine.type.name !in types) fail("wrong_place", "$attempt on ${machine.type.name}")
    }

    /** All jobs that a job needs, directly or through others. */
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

    /** Asked to be cancelled, itself or with a job that it needs. */
    fun mayBeCancelled(job: Known): Boolean =
        job.cancelRequested || ancestors(job).any { it.cancelRequested && it.observed != JobState.DONE }

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
            if (used > (limits[team] ?: Double.MAX_VALUE) + 1e-6) {
                val where = workers.associate { host ->
                    host.id to host.runningTasks().map { it.attempt }.filter {
                        jobs.getValue(it.task.job.value).spec.team.value == team
                    }
                }
                fail("quota", "$team uses $used GPUs: ${where.filterValues { it.isNotEmpty() }}")
            }
        }
    }

    private val unstoredSince = HashMap<Pair<SimWorker, AttemptId>, Long>()

    /** Tasks that run on, though no controller could learn of them from what is stored. */
    fun checkStored(workers: List<SimWorker>) {
        val running = workers.flatMap { worker -> worker.runningTasks().map { worker to it.attempt } }
        val unstored = running.filterNot { (_, attempt) -> isStored(attempt) }
        unstoredSince.keys.retainAll(unstored.toSet())
        for (one in unstored) {
            val (worker, attempt) = one
            val since = unstoredSince.getOrPut(one) { time.nowMs }
            if (time.nowMs - since > cancelMs) fail("orphaned", "$attempt runs on ${worker.id}, stored nowhere")
        }
    }

    /** What a user was told who had asked at [askedMs]. */
    fun observed(id: String, answer: UserResponse, askedMs: Long) {
        val job = jobs[id]
        if (answer is UserResponse.Accepted || answer is UserResponse.Known) job?.answeredAt = time.nowMs
        when (answer) {
            is UserResponse.Accepted -> toldAccepted(id, jobs.getValue(id), askedMs)
            is UserResponse.Known ->
                if (job == null) fail("invented", id) else toldState(id, job, answer.status, askedMs)
            UserResponse.NotFound -> if (isKnown(job, askedMs)) fail("forgotten", "$id is answered 404")
            is UserResponse.Rejected -> if (isKnown(job, askedMs)) fail("forgotten", "$id is answered 422")
            is UserResponse.Malformed -> if (isKnown(job, askedMs)) fail("forgotten", "$id is answered 400")
            is UserResponse.Overloaded, is UserResponse.Unavailable -> Unit
        }
    }

    /** Asked before it was accepted, an answer may cross that on the way. */
    private fun isKnown(job: Known?, askedMs: Long) = job?.acceptedAt?.let { askedMs >= it } ?: false

    private fun toldAccepted(id: String, job: Known, askedMs: Long) {
        if (job.acceptedAt == null) job.acceptedAt = time.nowMs
        val finalSince = job.finalSince
        if (finalSince != null && askedMs >= finalSince) fail("went_back", "$id was ${job.observed} and is accepted")
    }

    private fun toldState(id: String, job: Known, view: JobStatus, askedMs: Long) {
        if (job.acceptedAt == null) job.acceptedAt = time.nowMs
        val before = job.observed
        val finalSince = job.finalSince
        if (finalSince != null && view.state != before) {
            // Asked before the final answer came, an answer may cross it on the way.
            if (askedMs >= finalSince) fail("went_back", "$id was $before and is ${view.state}")
            return
        }
        if (view.state == JobState.CANCELLED) {
            if (!job.cancelRequested && ancestors(job).none {
                    it.cancelRequested
                }
            )
                fail("went_back", "$id is called cancelled")
            if (job.cancelledAt == null) job.cancelledAt = time.nowMs
        }
        if (view.state == JobState.DONE && job.done.size < job.spec.tasks) {
            fail("not_done", "$id has ${job.done.size} of ${job.spec.tasks} tasks done")
        }
        job.observed = view.state
        val isFinal = view.state == JobState.DONE || view.state == JobState.CANCELLED
        if (!isFinal) checkOrphaned(id, job, askedMs)
        if (isFinal && finalSince == null) job.finalSince = time.nowMs
    }

    private fun checkOrphaned(id: String, job: Known, askedMs: Long) {
        val toldAt = ancestors(job).mapNotNull { it.cancelledAt }.minOrNull() ?: return
        if (askedMs > toldAt + cancelMs) fail("orphaned", "$id is ${job.observed} after a job that it needs was cancelled")
    }

    fun unfinished(): List<String> = jobs.filterValues { job ->
        job.accepted && job.cancelledAt == null && !mayBeCancelled(job) &&
            if (job.spec.kind == JobKind.ARRAY) job.observed != JobState.DONE else job.started.size < job.spec.tasks
    }.keys.toList()
}
