package oxbowlug.plan

import oxbowlug.resource.Resources

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

    /** [need] is on its way out: it still counts for the limit, but is not borrowed a second time. */
    fun addStopping(need: Resources) {
        stoppingCores += need.cores
        stoppingGpus += need.gpus
    }

    fun hasRoomFor(need: Resources): Boolean =
        cores + need.cores <= maxCores + SLACK && gpus + need.gpus <= maxGpus + SLACK

    /** A guarantee of 0 is none, so a team needs a guarantee in whatever the task takes. */
    fun guarantees(need: Resources): Boolean {
        val anything = guaranteedCores > 0.0 || guaranteedGpus > 0.0
        return anything && within(cores + need.cores, guaranteedCores) && within(gpus + need.gpus, guaranteedGpus)
    }

    /** Whether it stays at or above its guarantee without [need], so that [need] is borrowed. */
    fun borrows(need: Resources): Boolean {
        val coresOver =
            guaranteedCores > 0.0 &&
                need.cores > 0.0 &&
                cores - stoppingCores - need.cores >= guaranteedCores - SLACK
        val gpusOver =
            guaranteedGpus > 0.0 &&
                need.gpus > 0.0 &&
                gpus - stoppingGpus - need.gpus >= guaranteedGpus - SLACK
        val nothingGuaranteed = guaranteedCores <= 0.0 && guaranteedGpus <= 0.0
        return coresOver || gpusOver || nothingGuaranteed
    }

    /** Whether [borrows] can be true of any of its tasks. */
    fun borrowsAnything(): Boolean =
        (guaranteedCores > 0.0 && cores - stoppingCores > guaranteedCores) ||
            (guaranteedGpus > 0.0 && gpus - stoppingGpus > guaranteedGpus) ||
            (guaranteedCores <= 0.0 && guaranteedGpus <= 0.0)

    private fun within(
        value: Double,
        guarantee: Double,
    ) = guarantee <= 0.0 || value <= guarantee + SLACK

    private companion object {
        const val SLACK = 1e-6
    }
}
