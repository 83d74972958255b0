package oxbowlug.forecast

import oxbowlug.config.Objective
import oxbowlug.config.Settings
import oxbowlug.resource.resources
import oxbowlug.wire.ClassName
import oxbowlug.wire.JobSpec
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.math.sqrt

/** Tasks of a class that are expected to need capacity; [example] is the last job of the class that was submitted. */
internal class ExpectedTasks(
    val example: JobSpec,
    val count: Int,
)

/**
 * Forecasts how many tasks of each class will need capacity within the boot time of a machine, from the tasks that were
 * submitted and cancelled within the last [windowMs]. It tracks only classes whose start delay has an objective: for
 * them an early start is worth more than the rent of reserved capacity.
 *
 * Of an array only as many tasks count as its team's limit allows at once: the others can't need capacity at the same
 * time, and the objectives don't count their starts either.
 */
internal class DemandForecast(
    private val settings: Settings,
    private val windowMs: Long,
) {
    private inner class TrackedClass(
        val objective: Objective.Wait,
    ) {
        val arrivals = ArrivalWindow(windowMs)
        var example: JobSpec? = null
    }

    private val trackedClasses = HashMap<ClassName, TrackedClass>()
    private var firstSubmissionMs = Long.MAX_VALUE

    init {
        for (objective in settings.objectives) {
            if (objective is Objective.Wait) trackedClasses[objective.className] = TrackedClass(objective)
        }
    }

    /** Records a job that was submitted at [atMs], in wall-clock time. */
    fun add(
        spec: JobSpec,
        atMs: Long,
    ) {
        firstSubmissionMs = minOf(firstSubmissionMs, atMs)
        val trackedClass = trackedClasses[spec.className] ?: return
        trackedClass.arrivals.add(atMs, concurrentTasks(spec))
        trackedClass.example = spec
    }

    /** Records a job that was cancelled at [atMs], in wall-clock time, and won't run to its end. */
    fun remove(
        spec: JobSpec,
        atMs: Long,
    ) {
        trackedClasses[spec.className]?.arrivals?.add(atMs, -concurrentTasks(spec))
    }

    /** How many tasks of a job its team's limit allows at once. */
    private fun concurrentTasks(spec: JobSpec): Int {
        val team = settings.teams[spec.team] ?: return spec.tasks
        return minOf(spec.tasks, spec.resources().timesWithin(team.maxCores, team.maxGpus))
    }

    /** For each class an example job, with the number of tasks for which capacity should be kept free. */
    fun expected(
        nowMs: Long,
        bootS: (JobSpec) -> Double,
    ): List<ExpectedTasks> {
        val result = ArrayList<ExpectedTasks>()
        // Counts from the first submission, which may be earlier than this leader's term: the term may be short.
        val observedS = (minOf(windowMs, nowMs - firstSubmissionMs) / 1000.0).coerceAtLeast(MIN_OBSERVED_S)
        for (trackedClass in trackedClasses.values) {
            val example = trackedClass.example ?: continue
            val sums = trackedClass.arrivals.sums(nowMs)
            if (!sums.hasSubmissions) continue
            val netArrivals = sums.netTasks.coerceAtLeast(0).toDouble()
            val windowFraction = bootS(example) / observedS
            // Standard deviation of a compound Poisson count; the objective's share sets how many of them to cover.
            val deviations = -ln((1.0 - trackedClass.objective.share).coerceAtLeast(1e-3)) / 2.0
            val count = ceil(netArrivals * windowFraction + deviations * sqrt(sums.squaredTasks * windowFraction))
            if (count > 0.0) result.add(ExpectedTasks(example, count.toInt()))
        }
        return result
    }

    private companion object {
        const val MIN_OBSERVED_S = 60.0
    }
}
