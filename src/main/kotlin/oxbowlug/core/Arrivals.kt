package oxbowlug.core

import oxbowlug.config.Objective
import oxbowlug.config.Settings
import oxbowlug.wire.ClassName
import oxbowlug.wire.JobSpec
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * How many tasks of each class came of late, and so how many are to be expected while a machine boots. Only classes
 * for whose starts the platform has an objective are followed: for them a start is worth more than its rent.
 */
class Arrivals(settings: Settings, private val windowMs: Long) {
    private class Arrival(val atMs: Long, val tasks: Int)

    private class Followed(val objective: Objective.Wait) {
        val arrivals = ArrayDeque<Arrival>()
        var example: JobSpec? = null
    }

    private val followed = HashMap<ClassName, Followed>()

    init {
        for (objective in settings.objectives) {
            if (objective is Objective.Wait) followed[objective.className] = Followed(objective)
        }
    }

    fun add(spec: JobSpec, atMs: Long) {
        val kind = followed[spec.className] ?: return
        kind.arrivals.addLast(Arrival(atMs, spec.tasks))
        kind.example = spec
    }

    /** An example of each class with the number of its tasks that should find room at once. */
    fun expected(nowMs: Long, sinceMs: Long, leadS: (JobSpec) -> Double): List<Pair<JobSpec, Int>> {
        val result = ArrayList<Pair<JobSpec, Int>>()
        for (kind in followed.values) {
            while (kind.arrivals.firstOrNull()?.let { it.atMs < nowMs - windowMs } == true) kind.arrivals.removeFirst()
            val example = kind.example ?: continue
            val seenS = (minOf(windowMs, nowMs - sinceMs) / 1000.0).coerceAtLeast(MIN_SEEN_S)
            val tasks = kind.arrivals.sumOf { it.tasks }
            val squares = kind.arrivals.sumOf { it.tasks.toDouble() * it.tasks }
            val lead = leadS(example) / seenS
            // The spread of a compound Poisson count; the objective's share says how far out to go.
            val sigmas = -ln((1.0 - kind.objective.share).coerceAtLeast(1e-3)) / 2.0
            val count = ceil(tasks * lead + sigmas * sqrt(squares * lead)).toInt()
            if (tasks > 0 && count > 0) result.add(example to count)
        }
        return result
    }

    private companion object {
        const val MIN_SEEN_S = 60.0
    }
}
