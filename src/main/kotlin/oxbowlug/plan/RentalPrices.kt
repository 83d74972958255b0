package oxbowlug.plan

import oxbowlug.resource.Resources
import oxbowlug.resource.fetchS
import oxbowlug.resource.resources
import oxbowlug.resource.share
import oxbowlug.wire.MachineType
import oxbowlug.wire.Zone

/** A machine of a kind that may be rented, and what the next task of a job would cost there. */
internal class RentalOffer(
    val kind: MachineKind,
    val type: MachineType,
    val cost: Double,
)

/**
 * What new machines cost the tasks of a job. The same for every zone but for how crowded it is, so a type is priced
 * once for each number of tasks that it would take: done for every zone and task, it was most of the plan of a fleet
 * that expects thousands of tasks.
 */
internal class RentalPrices(
    private val snapshot: Snapshot,
) {
    private class Choice(
        val kind: MachineKind,
        val penalty: Double,
    )

    private class TypeChoices(
        val type: MachineType,
        val choices: List<Choice>,
    ) {
        /** By whether it is a spot machine. */
        val costs = DoubleArray(2)
    }

    /** Most plans ask for no rental. */
    private val types: List<TypeChoices> by lazy(LazyThreadSafetyMode.NONE) {
        snapshot.types.map { type -> TypeChoices(type, choices(type)) }
    }
    private var pricedFor: PlanJob? = null
    private var pricedLeft = 0
    private var pricedWeight = 0.0

    /** In the order in which they are looked at; what is refused now isn't among them. */
    private fun choices(type: MachineType): List<Choice> =
        type.zones.flatMap { zone ->
            SPOT_CHOICES
                .map { spot -> MachineKind(type.name, zone, spot) }
                .filter { !it.spot || type.spotPrice > 0.0 }
                .mapNotNull { kind ->
                    val refusal = snapshot.refusals[kind]
                    if (refusal != null && refusal.blocked) null else Choice(kind, 1.0 + (refusal?.penalty ?: 0.0))
                }
        }

    /** A machine of the cheapest kind that may still be had; [crowd] is a zone's factor. */
    fun cheapest(
        job: PlanJob,
        need: Resources,
        zones: ZoneRule,
        left: Int,
        startWeight: Double,
        crowd: (Zone) -> Double,
    ): RentalOffer? {
        price(job, need, left, startWeight)
        var best: Choice? = null
        var bestType: MachineType? = null
        var bestCost = Double.POSITIVE_INFINITY
        for (candidate in types) {
            if (!Constraints.allow(job, candidate.type) || !need.fitsIn(candidate.type.resources())) continue
            for (choice in candidate.choices) {
                val kind = choice.kind
                if (kind.spot && !job.spec.spot) continue
                if (!zones.allows(kind.zone)) continue
                val cost = candidate.costs[slot(kind.spot)] * crowd(kind.zone) * choice.penalty
                if (cost < bestCost) {
                    best = choice
                    bestType = candidate.type
                    bestCost = cost
                }
            }
        }
        val chosen = best ?: return null
        return RentalOffer(chosen.kind, bestType ?: return null, bestCost)
    }

    private fun price(
        job: PlanJob,
        need: Resources,
        left: Int,
        startWeight: Double,
    ) {
        if (job === pricedFor && left == pricedLeft && startWeight == pricedWeight) return
        val isSameJob = job === pricedFor && startWeight == pricedWeight
        for (candidate in types) {
            // More tasks than a machine takes don't change what one costs.
            val perMachine = tasksPerMachine(candidate.type, need)
            if (isSameJob && left >= perMachine && pricedLeft >= perMachine) continue
            for (spot in SPOT_CHOICES) {
                candidate.costs[slot(spot)] = baseCost(job, need, candidate.type, spot, left, startWeight)
            }
        }
        pricedFor = job
        pricedLeft = left
        pricedWeight = startWeight
    }

    private fun tasksPerMachine(
        type: MachineType,
        need: Resources,
    ): Int = (1.0 / type.share(need).coerceAtLeast(LEAST_SHARE)).toInt().coerceAtLeast(1)

    private fun baseCost(
        job: PlanJob,
        need: Resources,
        type: MachineType,
        spot: Boolean,
        left: Int,
        startWeight: Double,
    ): Double {
        val filled = minOf(left, tasksPerMachine(type, need))
        val leftover =
            Resources(
                type.cores - need.cores * filled,
                type.gpus - need.gpus * filled,
                type.memoryGb - need.memoryGb * filled,
            )
        val price = type.price(spot)
        val delayS = type.bootS + type.fetchS(job.spec)
        return Pricing.cost(job, need, type, price, delayS, startWeight, snapshot) +
            Pricing.idleCost(type, price, leftover, snapshot) * (type.bootS + Pricing.serviceS(snapshot)) +
            Pricing.strandedCapacityCost(type, price, type.resources(), need, snapshot)
    }

    private fun slot(spot: Boolean) = if (spot) 1 else 0

    private companion object {
        val SPOT_CHOICES = listOf(true, false)
        const val LEAST_SHARE = 1e-9
    }
}
