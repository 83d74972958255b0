package oxbowlug.cluster

import oxbowlug.config.Team
import oxbowlug.resource.Resources
import oxbowlug.timing.Timing
import oxbowlug.wire.TeamName

/**
 * Whether what a new leader inherits goes beyond a team's quota. The records of two jobs aren't written together: one
 * may hold a task whose end wasn't stored yet, the other a task that was given its quota.
 */
internal class TeamQuotas(
    private val teams: Map<TeamName, Team>,
    private val timing: Timing,
) {
    private val used = HashMap<TeamName, Resources>()
    private var countedAt = Long.MIN_VALUE

    /** Whether the team's attempts, as counted at most a tick ago, exceed its quota. */
    fun isOverQuota(
        name: TeamName,
        jobs: Collection<Job>,
        now: Long,
    ): Boolean {
        val team = teams[name] ?: return false
        // Asked for each of hundreds of tasks just after a takeover, so it isn't counted afresh for each.
        if (countedAt == Long.MIN_VALUE || now - countedAt >= timing.tickMs) {
            countedAt = now
            used.clear()
            for (job in jobs) {
                if (job.attempts.isNotEmpty()) {
                    used.merge(
                        job.spec.team,
                        job.need * job.attempts.size.toDouble(),
                        Resources::plus,
                    )
                }
            }
        }
        val sum = used[name] ?: return false
        return sum.cores > team.maxCores + ROUNDING || sum.gpus > team.maxGpus + ROUNDING
    }

    /** An attempt of the team was removed. */
    fun freed(
        name: TeamName,
        need: Resources,
    ) {
        used.computeIfPresent(name) { _, sum -> sum - need }
    }

    private companion object {
        const val ROUNDING = 1e-6
    }
}
