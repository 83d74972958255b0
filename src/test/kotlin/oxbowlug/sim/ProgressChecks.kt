package oxbowlug.sim

import oxbowlug.standin.InvariantChecker
import oxbowlug.standin.SimWorker
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobState

/**
 * Progress checks beside the protocol's [InvariantChecker], for the time when no fault is active any more. They find
 * accepted jobs about which users get no answer, tasks that aren't started although a machine has capacity for them,
 * and classes, teams and largest jobs of which too few are served.
 */
internal class ProgressChecks(
    private val time: VirtualTime,
    private val checker: InvariantChecker,
    private val workers: () -> List<SimWorker>,
    private val teamGpuLimits: Map<String, Double>,
    private val faultFreeFromMs: Long,
) {
    private val startableSince = HashMap<String, Long>()
    val ruleViolations = ArrayList<String>()

    fun startPeriodicChecks() = time.every(1_000) { check() }

    fun check() {
        if (time.nowMs < faultFreeFromMs) return
        for ((id, job) in checker.jobs) {
            if (!job.accepted || checker.mayBeCancelled(job) || job.observed == JobState.DONE) continue
            val answeredAt = maxOf(job.answeredAt, faultFreeFromMs)
            if (time.nowMs - answeredAt > MAX_UNANSWERED_MS) {
                ruleViolations.add("${time.nowMs} ms forgotten: $id, no answers")
            }
            if (!isStartable(id, job)) {
                startableSince.remove(id)
            } else if (time.nowMs - startableSince.getOrPut(id) { time.nowMs } > MAX_STARTABLE_MS) {
                ruleViolations.add("${time.nowMs} ms left waiting: $id although a machine has capacity for it")
            }
        }
    }

    /** Whether the dependencies are done, and a task that isn't running fits a machine and the team's limit. */
    private fun isStartable(
        id: String,
        job: InvariantChecker.Known,
    ): Boolean {
        if (checker.ancestors(job).any { it.observed != JobState.DONE }) return false
        val running =
            workers()
                .filter { it.alive }
                .flatMap { machine ->
                    machine.tasks.values
                        .filter { it.cause == null && it.attempt.task.job.value == id }
                        .map { it.attempt.task to machine }
                }.toMap()
        if (running.size + job.done.size >= job.spec.tasks) return false
        val team = job.spec.team.value
        val used =
            workers()
                .flatMap { it.runningTasks() }
                .mapNotNull { checker.jobs[it.attempt.task.job.value]?.spec }
                .filter { it.team.value == team }
                .sumOf { it.gpus }
        if (used + job.spec.gpus > (teamGpuLimits[team] ?: Double.MAX_VALUE)) return false
        return workers().any { fits(job, it, running.values) }
    }

    private fun fits(
        job: InvariantChecker.Known,
        machine: SimWorker,
        machinesOfJob: Collection<SimWorker>,
    ): Boolean {
        val spec = job.spec
        if (!machine.alive || machine.isHung || machine.spot && !spec.spot) return false
        if (spec.zone != null && spec.zone != machine.zone) return false
        if (spec.types?.contains(machine.type.name) == false) return false
        if (spec.oneZone && machinesOfJob.any { it.zone != machine.zone }) return false
        if (machinesOfJob.count { it.zone == machine.zone } >= spec.maxTasksPerZone) return false
        return machine.hasCapacityFor(spec)
    }

    /**
     * Lists the classes, the teams and the groups of a class's largest jobs of which less than half is served. Also
     * lists each of these largest jobs whose first task started too late.
     */
    fun underservedGroups(): List<String> {
        val jobs = checker.jobs.values.filter { it.accepted && !checker.mayBeCancelled(it) }
        val groups =
            jobs.groupBy { "class ${it.spec.className}" } + jobs.groupBy { "team ${it.spec.team}" } +
                largest(jobs).groupBy { "largest ${it.spec.className}" }
        val underserved = groups.filterValues { group -> group.count(::isServed) * 2 < group.size }.keys
        val startedTooLate =
            largest(jobs).filter { job ->
                val acceptedAt = job.acceptedAt ?: return@filter false
                (job.firstStartAt ?: time.nowMs) - acceptedAt > MAX_LARGEST_START_DELAY_MS
            }
        val problems = underserved.map { "$it: less than half served" }
        return problems + startedTooLate.map { "${it.spec.id}: a largest job of its class, started too late" }
    }

    /** The jobs with the most tasks of their class. */
    private fun largest(jobs: List<InvariantChecker.Known>): List<InvariantChecker.Known> {
        val maxTasks = jobs.groupBy { it.spec.className }.mapValues { (_, group) -> group.maxOf { it.spec.tasks } }
        return jobs.filter { it.spec.tasks == maxTasks[it.spec.className] }
    }

    /** An array is served when it is done, a service when all its tasks have been started once. */
    private fun isServed(job: InvariantChecker.Known): Boolean =
        if (job.spec.kind == JobKind.ARRAY) job.observed == JobState.DONE else job.started.size == job.spec.tasks

    private companion object {
        const val MAX_UNANSWERED_MS = 75_000L
        const val MAX_STARTABLE_MS = 90_000L
        const val MAX_LARGEST_START_DELAY_MS = 240_000L
    }
}
