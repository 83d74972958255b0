package oxbowlug.plan

import oxbowlug.resource.Resources
import oxbowlug.resource.share
import oxbowlug.wire.JobKind
import oxbowlug.wire.MachineType

internal object Pricing {
    const val HOUR_S = 3600.0

    /** The job's part of the machine for its run time, plus the weighted tardiness of its start there. */
    fun cost(
        job: PlanJob,
        need: Resources,
        type: MachineType,
        price: Double,
        delayS: Double,
        startWeight: Double,
        snapshot: Snapshot,
    ): Double {
        val runS = if (job.spec.kind == JobKind.SERVICE) serviceS(snapshot) else job.runEstimateS
        val deadline = job.deadlineInS ?: (2.0 * job.runEstimateS)
        val tardiness = maxOf(0.0, delayS + job.runEstimateS - deadline)
        val rent = type.share(need) * price / HOUR_S * runS
        return rent + omega(job, snapshot) * (tardiness + delayS * EAGERNESS) + omega(startWeight, snapshot) * delayS
    }

    /** Where the platform awaits starts within guarantees, a late one counts beside the job's own deadline. */
    fun startWeight(
        job: PlanJob,
        guaranteed: Boolean,
        snapshot: Snapshot,
    ): Double = if (guaranteed && job.spec.kind != JobKind.SERVICE) snapshot.guaranteeWeight else 0.0

    /** Nobody says how long a service will run; it is priced as if it stayed for some horizons. */
    fun serviceS(snapshot: Snapshot): Double = snapshot.horizonS * SERVICE_HORIZONS

    /** mu for each slot that stays idle, in the price of the slot for one second. */
    fun idleCost(
        type: MachineType,
        price: Double,
        left: Resources,
        snapshot: Snapshot,
    ): Double {
        val idle = if (type.gpus > 0.0) left.gpus else left.cores
        val slots = type.slots.coerceAtLeast(1.0)
        return snapshot.idleSlotPenalty * maxOf(0.0, idle) / slots * price / HOUR_S
    }

    /**
     * GPUs that no job could use any more, because [need] takes the cores or the memory that belong beside them.
     * A service may stay for long, so they count for many horizons.
     */
    fun strandedCapacityCost(
        type: MachineType,
        price: Double,
        free: Resources,
        need: Resources,
        snapshot: Snapshot,
    ): Double {
        if (type.gpus <= 0.0) return 0.0
        val lost =
            usableGpus(free, snapshot.resourcesPerGpu) - usableGpus(free - need, snapshot.resourcesPerGpu) - need.gpus
        return maxOf(0.0, lost) * price / type.gpus / HOUR_S * snapshot.horizonS * STRAND_HORIZONS
    }

    private fun usableGpus(
        free: Resources,
        beside: Resources,
    ): Double {
        var usable = free.gpus
        if (beside.cores > 0.0) usable = minOf(usable, free.cores / beside.cores)
        if (beside.memoryGb > 0.0) usable = minOf(usable, free.memoryGb / beside.memoryGb)
        return maxOf(0.0, usable)
    }

    /** The weight is in prices: a second late costs [PlanJob.weight] times the dearest machine's second. */
    private fun omega(
        job: PlanJob,
        snapshot: Snapshot,
    ): Double = omega(job.weight, snapshot)

    fun omega(
        weight: Double,
        snapshot: Snapshot,
    ): Double = weight * omega(snapshot.types)

    fun omega(types: Collection<MachineType>): Double = (types.maxOfOrNull { it.price } ?: 0.0) / HOUR_S

    /** Whether replicas of [weight] that are down for [downS] more cost more than another machine's boot. */
    fun isReplacementCheaper(
        weight: Double,
        downS: Double,
        type: MachineType,
        spot: Boolean,
        types: Collection<MachineType>,
    ): Boolean = weight * USERS * omega(types) * downS > type.price(spot) / HOUR_S * type.bootS

    /** Who has a replica misses it more than who still waits for one. */
    private const val USERS = 5.0

    /** Even an early start is worth something: it frees the machine earlier. */
    private const val EAGERNESS = 0.05
    private const val SERVICE_HORIZONS = 10.0
    private const val STRAND_HORIZONS = 300.0
}
