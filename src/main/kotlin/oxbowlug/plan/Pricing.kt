package oxbowlug.plan

import oxbowlug.resource.Resources
import oxbowlug.resource.dominantShare
import oxbowlug.wire.JobKind
import oxbowlug.wire.MachineType

/** Costs by which the planner compares placements; all are in the currency of the machines' prices. */
internal object Pricing {
    const val HOUR_S = 3600.0

    /** Rent of the task's share of the machine for its run time, plus the weighted tardiness of a start in [delayS]. */
    fun cost(
        job: PlanJob,
        need: Resources,
        type: MachineType,
        price: Double,
        delayS: Double,
        startDelayWeight: Double,
        snapshot: Snapshot,
    ): Double {
        val runS = if (job.spec.kind == JobKind.SERVICE) assumedServiceRunS(snapshot) else job.runEstimateS
        // A job without a deadline gets one after twice its estimated run time from now.
        val deadline = job.deadlineInS ?: (2.0 * job.runEstimateS)
        val tardiness = maxOf(0.0, delayS + job.runEstimateS - deadline)
        val rent = type.dominantShare(need) * price / HOUR_S * runS
        return rent +
            tardinessCostPerS(job, snapshot) * (tardiness + delayS * EARLY_START_WEIGHT) +
            tardinessCostPerS(startDelayWeight, snapshot) * delayS
    }

    /** Extra weight of a start delay where the platform has an objective for starts within guarantees; else 0. */
    fun startDelayWeight(
        job: PlanJob,
        guaranteed: Boolean,
        snapshot: Snapshot,
    ): Double = if (guaranteed && job.spec.kind != JobKind.SERVICE) snapshot.guaranteeWeight else 0.0

    /** Services have no estimate of their run time; costs assume [SERVICE_HORIZONS] planning horizons. */
    fun assumedServiceRunS(snapshot: Snapshot): Double = snapshot.horizonS * SERVICE_HORIZONS

    /** The idle slot penalty (mu) times the price per second of each slot that stays idle. */
    fun idleCost(
        type: MachineType,
        price: Double,
        unused: Resources,
        snapshot: Snapshot,
    ): Double {
        val idleSlots = if (type.gpus > 0.0) unused.gpus else unused.cores
        val slots = type.slots.coerceAtLeast(1.0)
        return snapshot.idleSlotPenalty * maxOf(0.0, idleSlots) / slots * price / HOUR_S
    }

    /**
     * Cost of the GPUs that no job could use any more because [need] takes the cores or the memory that a GPU job takes
     * beside them. A service may run for long, so stranded GPUs count for [STRANDED_GPU_HORIZONS] planning horizons.
     */
    fun strandedCapacityCost(
        type: MachineType,
        price: Double,
        free: Resources,
        need: Resources,
        snapshot: Snapshot,
    ): Double {
        if (type.gpus <= 0.0) return 0.0
        val strandedGpus =
            usableGpus(free, snapshot.resourcesPerGpu) - usableGpus(free - need, snapshot.resourcesPerGpu) - need.gpus
        return maxOf(0.0, strandedGpus) * price / type.gpus / HOUR_S * snapshot.horizonS * STRANDED_GPU_HORIZONS
    }

    /** The free GPUs that jobs which take [perGpu] beside each GPU could still use. */
    private fun usableGpus(
        free: Resources,
        perGpu: Resources,
    ): Double {
        var usable = free.gpus
        if (perGpu.cores > 0.0) usable = minOf(usable, free.cores / perGpu.cores)
        if (perGpu.memoryGb > 0.0) usable = minOf(usable, free.memoryGb / perGpu.memoryGb)
        return maxOf(0.0, usable)
    }

    /** A second of tardiness costs [PlanJob.weight] times the price per second of the most expensive machine type. */
    private fun tardinessCostPerS(
        job: PlanJob,
        snapshot: Snapshot,
    ): Double = tardinessCostPerS(job.weight, snapshot)

    fun tardinessCostPerS(
        weight: Double,
        snapshot: Snapshot,
    ): Double = weight * tardinessCostPerS(snapshot.types)

    fun tardinessCostPerS(types: Collection<MachineType>): Double = (types.maxOfOrNull { it.price } ?: 0.0) / HOUR_S

    /** Whether [downS] more seconds without replicas of [weight] cost more than the boot time of another machine. */
    fun isReplacementCheaper(
        weight: Double,
        downS: Double,
        type: MachineType,
        spot: Boolean,
        types: Collection<MachineType>,
    ): Boolean =
        weight * REPLICA_DOWNTIME_FACTOR * tardinessCostPerS(types) * downS > type.price(spot) / HOUR_S * type.bootS

    /** A running replica that goes down costs its users more than a later start of one that was never up. */
    private const val REPLICA_DOWNTIME_FACTOR = 5.0

    /** Weight of each second of start delay beside the tardiness: an earlier start frees the machine earlier. */
    private const val EARLY_START_WEIGHT = 0.05
    private const val SERVICE_HORIZONS = 10.0
    private const val STRANDED_GPU_HORIZONS = 300.0
}
