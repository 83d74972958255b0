package oxbowlug.cluster

import oxbowlug.config.Team
import oxbowlug.resource.Resources
import oxbowlug.timing.Timing
import oxbowlug.wire.TeamName

/**
 * Detects that the attempts which a new leader inherited exceed a team's quota. The records of two jobs aren't written
 * together: one may have an attempt whose end wasn't stored yet, the other an attempt that got the quota freed by it.
 */
internal class TeamQuotas(
    private val teams: Map<TeamName, Team>,
    private val timing: Timing,
) {
    private val used = HashMap<TeamName, Resources>()
    private var countedAt = Long.MIN_VALUE

    /** Whether the resources of the team's attempts, as summed up at most a tick ago, exceed its quota. */
    fun isOverQuota(
        name: TeamName,
        jobs: Collection<Job>,
        now: Long,
    ): Boolean {
        val team = teams[name] ?: return false
        // Just after a takeover this is called for each of hundreds of tasks, so the sums are reused for a tick.
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
        return sum.cores > team.maxCores + ROUNDING_TOLERANCE || sum.gpus > team.maxGpus + ROUNDING_TOLERANCE
    }

    /** Subtracts the resources of a removed attempt of the team. */
    fun subtract(
        name: TeamName,
        need: Resources,
    ) {
        used.computeIfPresent(name) { _, sum -> sum - need }
    }

    private companion object {
        const val ROUNDING_TOLERANCE = 1e-6
    }
}
