package oxbowlug.forecast

import oxbowlug.config.Objective
import oxbowlug.config.Settings
import oxbowlug.wire.ClassName
import oxbowlug.wire.JobSpec
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Forecasts how many tasks of each class will need capacity within the boot time of a machine, from the tasks that were
 * submitted and cancelled within the last [windowMs]. It tracks only classes whose start delay has an objective: for
 * them an early start is worth more than the rent of reserved capacity.
 */
internal class DemandForecast(
    settings: Settings,
    private val windowMs: Long,
) {
    /** A submission or, with negative [tasks], a cancellation. */
    private class Change(
        val atMs: Long,
        val tasks: Int,
    )

    private class TrackedClass(
        val objective: Objective.Wait,
    ) {
        val changes = ArrayDeque<Change>()
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
        trackedClass.changes.addLast(Change(atMs, spec.tasks))
        trackedClass.example = spec
    }

    /** Records a job that was cancelled at [atMs], in wall-clock time, and won't run to its end. */
    fun remove(
        spec: JobSpec,
        atMs: Long,
    ) {
        trackedClasses[spec.className]?.changes?.addLast(Change(atMs, -spec.tasks))
    }

    /** For each class an example job, with the number of tasks for which capacity should be kept free. */
    fun expected(
        nowMs: Long,
        bootS: (JobSpec) -> Double,
    ): List<Pair<JobSpec, Int>> {
        val result = ArrayList<Pair<JobSpec, Int>>()
        // Counts from the first submission, which may be earlier than this leader's term: the term may be short.
        val observedS = (minOf(windowMs, nowMs - firstSubmissionMs) / 1000.0).coerceAtLeast(MIN_OBSERVED_S)
        for (trackedClass in trackedClasses.values) {
            trackedClass.changes.removeIf { it.atMs < nowMs - windowMs }
            val example = trackedClass.example ?: continue
            if (trackedClass.changes.none { it.tasks > 0 }) continue
            val netArrivals = trackedClass.changes.sumOf { it.tasks }.coerceAtLeast(0)
            val sumOfSquares = trackedClass.changes.sumOf { it.tasks.toDouble() * it.tasks }
            val windowFraction = bootS(example) / observedS
            // Standard deviation of a compound Poisson count; the objective's share sets how many of them to cover.
            val deviations = -ln((1.0 - trackedClass.objective.share).coerceAtLeast(1e-3)) / 2.0
            val count = ceil(netArrivals * windowFraction + deviations * sqrt(sumOfSquares * windowFraction)).toInt()
            if (count > 0) result.add(example to count)
        }
        return result
    }

    private companion object {
        const val MIN_OBSERVED_S = 60.0
    }
}
