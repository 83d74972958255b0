package oxbowlug.forecast

import oxbowlug.config.Objective
import oxbowlug.config.Settings
import oxbowlug.wire.ClassName
import oxbowlug.wire.JobSpec
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * How many tasks of each class came and went of late, and so how much room is needed while a machine boots beside what
 * comes free by itself. Only classes for whose starts the platform has an objective are followed: for them a start is
 * worth more than its rent.
 */
internal class DemandForecast(
    settings: Settings,
    private val windowMs: Long,
) {
    /** [tasks] is negative for those that left. */
    private class Change(
        val atMs: Long,
        val tasks: Int,
    )

    private class FollowedClass(
        val objective: Objective.Wait,
    ) {
        val changes = ArrayDeque<Change>()
        var example: JobSpec? = null
    }

    private val followed = HashMap<ClassName, FollowedClass>()
    private var firstMs = Long.MAX_VALUE

    init {
        for (objective in settings.objectives) {
            if (objective is Objective.Wait) followed[objective.className] = FollowedClass(objective)
        }
    }

    /** A job came at [atMs], by the time of day. */
    fun add(
        spec: JobSpec,
        atMs: Long,
    ) {
        firstMs = minOf(firstMs, atMs)
        val followedClass = followed[spec.className] ?: return
        followedClass.changes.addLast(Change(atMs, spec.tasks))
        followedClass.example = spec
    }

    /** A job left without running to its end: cancelled at [atMs], by the time of day. */
    fun remove(
        spec: JobSpec,
        atMs: Long,
    ) {
        followed[spec.className]?.changes?.addLast(Change(atMs, -spec.tasks))
    }

    /** An example of each class with the number of its tasks that should find room at once. */
    fun expected(
        nowMs: Long,
        bootS: (JobSpec) -> Double,
    ): List<Pair<JobSpec, Int>> {
        val result = ArrayList<Pair<JobSpec, Int>>()
        // Jobs that came before this leader count for their own time, not for its short one.
        val seenS = (minOf(windowMs, nowMs - firstMs) / 1000.0).coerceAtLeast(MIN_SEEN_S)
        for (followedClass in followed.values) {
            followedClass.changes.removeIf { it.atMs < nowMs - windowMs }
            val example = followedClass.example ?: continue
            if (followedClass.changes.none { it.tasks > 0 }) continue
            val growth = followedClass.changes.sumOf { it.tasks }.coerceAtLeast(0)
            val squares = followedClass.changes.sumOf { it.tasks.toDouble() * it.tasks }
            val lead = bootS(example) / seenS
            // The spread of a compound Poisson count; the objective's share says how far out to go.
            val sigmas = -ln((1.0 - followedClass.objective.share).coerceAtLeast(1e-3)) / 2.0
            val count = ceil(growth * lead + sigmas * sqrt(squares * lead)).toInt()
            if (count > 0) result.add(example to count)
        }
        return result
    }

    private companion object {
        const val MIN_SEEN_S = 60.0
    }
}
