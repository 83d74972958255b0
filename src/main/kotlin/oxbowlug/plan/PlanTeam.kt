package oxbowlug.plan

import oxbowlug.resource.Resources

/** A team's limit, guarantee and usage; the planner adds the need of each task that it places. */
internal class PlanTeam(
    val maxCores: Double,
    val maxGpus: Double,
    val guaranteedCores: Double,
    val guaranteedGpus: Double,
) {
    var cores = 0.0
        private set
    var gpus = 0.0
        private set
    private var stoppingCores = 0.0
    private var stoppingGpus = 0.0

    fun add(need: Resources) {
        cores += need.cores
        gpus += need.gpus
    }

    /** Counts [need] as being stopped: it still counts against the limit, but no longer as borrowed. */
    fun addStopping(need: Resources) {
        stoppingCores += need.cores
        stoppingGpus += need.gpus
    }

    fun isWithinLimit(need: Resources): Boolean =
        cores + need.cores <= maxCores + ROUNDING_TOLERANCE && gpus + need.gpus <= maxGpus + ROUNDING_TOLERANCE

    /** How many more tasks with [need] stay within the limit. */
    fun remainingTasks(need: Resources): Int = need.timesWithin(maxCores - cores, maxGpus - gpus)

    /** Whether one more task with [need] stays within the guarantee; a resource guarantee of 0 sets no bound for it. */
    fun guarantees(need: Resources): Boolean {
        val anything = guaranteedCores > 0.0 || guaranteedGpus > 0.0
        return anything && within(cores + need.cores, guaranteedCores) && within(gpus + need.gpus, guaranteedGpus)
    }

    /** Whether a placed task with [need] is borrowed: without it the team still uses at least its guarantee. */
    fun borrows(need: Resources): Boolean {
        val coresOver =
            guaranteedCores > 0.0 &&
                need.cores > 0.0 &&
                cores - stoppingCores - need.cores >= guaranteedCores - ROUNDING_TOLERANCE
        val gpusOver =
            guaranteedGpus > 0.0 &&
                need.gpus > 0.0 &&
                gpus - stoppingGpus - need.gpus >= guaranteedGpus - ROUNDING_TOLERANCE
        val nothingGuaranteed = guaranteedCores <= 0.0 && guaranteedGpus <= 0.0
        return coresOver || gpusOver || nothingGuaranteed
    }

    /** Whether [borrows] can be true for any of the team's tasks. */
    fun borrowsAnything(): Boolean =
        (guaranteedCores > 0.0 && cores - stoppingCores > guaranteedCores) ||
            (guaranteedGpus > 0.0 && gpus - stoppingGpus > guaranteedGpus) ||
            (guaranteedCores <= 0.0 && guaranteedGpus <= 0.0)

    private fun within(
        value: Double,
        guarantee: Double,
    ) = guarantee <= 0.0 || value <= guarantee + ROUNDING_TOLERANCE

    private companion object {
        const val ROUNDING_TOLERANCE = 1e-6
    }
}
