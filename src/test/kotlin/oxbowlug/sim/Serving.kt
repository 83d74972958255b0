package oxbowlug.sim

import oxbowlug.standin.InvariantChecker
import oxbowlug.standin.SimWorker
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobState

/**
 * What the users count beside the protocol's rules once all troubles are over: jobs about which nobody answers, jobs
 * left waiting beside a machine that fits, and classes, teams and largest jobs of which too few were served.
 */
internal class Serving(
    private val time: VirtualTime,
    private val checker: InvariantChecker,
    private val workers: () -> List<SimWorker>,
    private val limits: Map<String, Double>,
    private val calmFromMs: Long,
) {
    private val besideRoomSince = HashMap<String, Long>()
    val ruleViolations = ArrayList<String>()

    fun watch() = time.every(1_000) { look() }

    fun look() {
        if (time.nowMs < calmFromMs) return
        for ((id, job) in checker.jobs) {
            if (!job.accepted || checker.mayBeCancelled(job) || job.observed == JobState.DONE) continue
            val answeredAt = maxOf(job.answeredAt, calmFromMs)
            if (time.nowMs - answeredAt > UNANSWERED_MS) ruleViolations.add("${time.nowMs} ms forgotten: $id, by all")
            if (!waitsBesideRoom(id, job)) {
                besideRoomSince.remove(id)
            } else if (time.nowMs - besideRoomSince.getOrPut(id) { time.nowMs } > LEFT_WAITING_MS) {
                ruleViolations.add("${time.nowMs} ms left waiting: $id beside free room")
            }
        }
    }

    private fun waitsBesideRoom(
        id: String,
        job: InvariantChecker.Known,
    ): Boolean {
        if (checker.ancestors(job).any { it.observed != JobState.DONE }) return false
        val running =
            workers()
                .filter { it.alive }
                .flatMap { host ->
                    host.tasks.values
                        .filter { it.cause == null && it.attempt.task.job.value == id }
                        .map { it.attempt.task to host }
                }.toMap()
        if (running.size + job.done.size >= job.spec.tasks) return false
        val team = job.spec.team.value
        val used =
            workers()
                .flatMap { it.runningTasks() }
                .mapNotNull { checker.jobs[it.attempt.task.job.value]?.spec }
                .filter { it.team.value == team }
                .sumOf { it.gpus }
        if (used + job.spec.gpus > (limits[team] ?: Double.MAX_VALUE)) return false
        return workers().any { fits(job, it, running.values) }
    }

    private fun fits(
        job: InvariantChecker.Known,
        host: SimWorker,
        others: Collection<SimWorker>,
    ): Boolean {
        val spec = job.spec
        if (!host.alive || host.isHung || host.spot && !spec.spot) return false
        if (spec.zone != null && spec.zone != host.zone) return false
        if (spec.types?.contains(host.type.name) == false) return false
        if (spec.oneZone && others.any { it.zone != host.zone }) return false
        if (others.count { it.zone == host.zone } >= spec.maxTasksPerZone) return false
        return host.hasCapacityFor(spec)
    }

    /** Classes, teams and largest jobs of which less than half is served, or that began too late. */
    fun neglected(): List<String> {
        val jobs = checker.jobs.values.filter { it.accepted && !checker.mayBeCancelled(it) }
        val groups =
            jobs.groupBy { "class ${it.spec.className}" } + jobs.groupBy { "team ${it.spec.team}" } +
                largest(jobs).groupBy { "largest ${it.spec.className}" }
        val few = groups.filterValues { group -> group.count(::isServed) * 2 < group.size }.keys
        val late =
            largest(jobs).filter { job ->
                val acceptedAt = job.acceptedAt ?: return@filter false
                (job.firstStartAt ?: time.nowMs) - acceptedAt > LARGEST_BEGIN_MS
            }
        val neglected = few.map { "$it: less than half served" }
        return neglected + late.map { "${it.spec.id}: among the largest, began too late" }
    }

    private fun largest(jobs: List<InvariantChecker.Known>): List<InvariantChecker.Known> {
        val most = jobs.groupBy { it.spec.className }.mapValues { (_, group) -> group.maxOf { it.spec.tasks } }
        return jobs.filter { it.spec.tasks == most[it.spec.className] }
    }

    private fun isServed(job: InvariantChecker.Known): Boolean =
        if (job.spec.kind == JobKind.ARRAY) job.observed == JobState.DONE else job.started.size == job.spec.tasks

    private companion object {
        const val UNANSWERED_MS = 75_000L
        const val LEFT_WAITING_MS = 90_000L
        const val LARGEST_BEGIN_MS = 240_000L
    }
}
