package oxbowlug.plan

import oxbowlug.plan.index.ChangedMachines
import oxbowlug.resource.Resources
import oxbowlug.resource.dominantShare
import oxbowlug.resource.fetchS
import oxbowlug.resource.resources
import oxbowlug.wire.MachineType
import oxbowlug.wire.Zone

/** A kind of machine to rent, and the cost of placing the next task of a job on a new machine of it. */
internal class RentalCandidate(
    val kind: MachineKind,
    val type: MachineType,
    val cost: Double,
)

/**
 * The rentals of one plan, at most [Snapshot.maxRentals]. Each machine that is to be rented joins [machines] as a
 * booting one.
 */
internal class PlannedRentals(
    private val machines: MutableList<PlanMachine>,
    snapshot: Snapshot,
    private val changedMachines: ChangedMachines,
) {
    private val costs = RentalCosts(snapshot)
    private val machinesInZone = HashMap<Zone, Int>()
    private val counts = LinkedHashMap<MachineKind, Int>()
    private var remainingRentals = snapshot.maxRentals

    /** How many machines of each kind are rented. */
    val byKind: Map<MachineKind, Int> get() = counts

    init {
        for (machine in machines) machinesInZone.merge(machine.zone, 1, Int::plus)
    }

    /** The cheapest kind for the next task of [job]; null if none may be rented. */
    fun cheapest(
        job: PlanJob,
        need: Resources,
        zones: ZoneRule,
        remaining: Int,
        startDelayWeight: Double,
    ): RentalCandidate? {
        if (remainingRentals <= 0) return null
        return costs.cheapest(job, need, zones, remaining, startDelayWeight) { zone ->
            // Breaks ties in favor of zones with fewer machines and tasks, so that the loss of one zone costs less.
            1.0 + (machinesInZone[zone] ?: 0) * ZONE_CROWDING_FACTOR + zones.taskCount(zone) * ZONE_CROWDING_FACTOR
        }
    }

    /** Rents a machine and returns it. */
    fun rent(rental: RentalCandidate): PlanMachine {
        val kind = rental.kind
        val machine = PlanMachine.forRental(rental.type, kind.zone, kind.spot, rental.type.bootS.coerceAtLeast(1.0))
        machine.recordChangesIn(changedMachines, machines.size)
        machines.add(machine)
        machinesInZone.merge(machine.zone, 1, Int::plus)
        counts.merge(kind, 1, Int::plus)
        remainingRentals--
        return machine
    }

    private companion object {
        const val ZONE_CROWDING_FACTOR = 1e-4
    }
}

/**
 * Costs of placing a job's tasks on new machines. Zones differ only by factors for crowding and refusals, so the base
 * cost is computed once per type and number of tasks that share the machine. Computed for every zone and task, it took
 * most of the planning time of a fleet that expects thousands of tasks.
 */
internal class RentalCosts(
    private val snapshot: Snapshot,
) {
    private class RentalKind(
        val kind: MachineKind,
        val refusalFactor: Double,
    )

    private class RentalType(
        val type: MachineType,
        val kinds: List<RentalKind>,
    ) {
        /** Cost of an on-demand and of a spot machine; see [costIndex]. */
        val costs = DoubleArray(2)
    }

    /** Lazy because most plans need no rental. */
    private val types: List<RentalType> by lazy(LazyThreadSafetyMode.NONE) {
        snapshot.types.map { type -> RentalType(type, kinds(type)) }
    }
    private var costedJob: PlanJob? = null
    private var costedRemaining = 0
    private var costedStartDelayWeight = 0.0

    /** The kinds of [type] that the cloud doesn't refuse at present, in the order that decides between equal costs. */
    private fun kinds(type: MachineType): List<RentalKind> =
        type.zones.flatMap { zone ->
            SPOT_OPTIONS
                .map { spot -> MachineKind(type.name, zone, spot) }
                .filter { !it.spot || type.spotPrice > 0.0 }
                .mapNotNull { kind ->
                    val refusal = snapshot.refusals[kind]
                    if (refusal != null && refusal.blocked) null else RentalKind(kind, 1.0 + (refusal?.penalty ?: 0.0))
                }
        }

    /** The cheapest kind that the job may use; [zoneFactor] multiplies the cost of a zone. */
    fun cheapest(
        job: PlanJob,
        need: Resources,
        zones: ZoneRule,
        remaining: Int,
        startDelayWeight: Double,
        zoneFactor: (Zone) -> Double,
    ): RentalCandidate? {
        updateCosts(job, need, remaining, startDelayWeight)
        var best: RentalKind? = null
        var bestType: MachineType? = null
        var bestCost = Double.POSITIVE_INFINITY
        for (rentalType in types) {
            if (!Constraints.allow(job, rentalType.type) || !need.fitsIn(rentalType.type.resources())) continue
            for (rentalKind in rentalType.kinds) {
                val kind = rentalKind.kind
                if (kind.spot && !job.spec.spot) continue
                if (!zones.allows(kind.zone)) continue
                val cost = rentalType.costs[costIndex(kind.spot)] * zoneFactor(kind.zone) * rentalKind.refusalFactor
                if (cost < bestCost) {
                    best = rentalKind
                    bestType = rentalType.type
                    bestCost = cost
                }
            }
        }
        val chosen = best ?: return null
        return RentalCandidate(chosen.kind, bestType ?: return null, bestCost)
    }

    private fun updateCosts(
        job: PlanJob,
        need: Resources,
        remaining: Int,
        startDelayWeight: Double,
    ) {
        if (job === costedJob && remaining == costedRemaining && startDelayWeight == costedStartDelayWeight) return
        val isSameJob = job === costedJob && startDelayWeight == costedStartDelayWeight
        for (rentalType in types) {
            // Tasks beyond those that fit on one machine don't change the cost per task.
            val maxTasks = maxTasksPerMachine(rentalType.type, need)
            if (isSameJob && remaining >= maxTasks && costedRemaining >= maxTasks) continue
            for (spot in SPOT_OPTIONS) {
                rentalType.costs[costIndex(spot)] =
                    baseCost(job, need, rentalType.type, spot, remaining, startDelayWeight)
            }
        }
        costedJob = job
        costedRemaining = remaining
        costedStartDelayWeight = startDelayWeight
    }

    private fun maxTasksPerMachine(
        type: MachineType,
        need: Resources,
    ): Int = (1.0 / type.dominantShare(need).coerceAtLeast(MIN_SHARE)).toInt().coerceAtLeast(1)

    private fun baseCost(
        job: PlanJob,
        need: Resources,
        type: MachineType,
        spot: Boolean,
        remaining: Int,
        startDelayWeight: Double,
    ): Double {
        val tasksOnMachine = minOf(remaining, maxTasksPerMachine(type, need))
        val unused =
            Resources(
                type.cores - need.cores * tasksOnMachine,
                type.gpus - need.gpus * tasksOnMachine,
                type.memoryGb - need.memoryGb * tasksOnMachine,
            )
        val price = type.price(spot)
        val delayS = type.bootS + type.fetchS(job.spec)
        return Pricing.cost(job, need, type, price, delayS, startDelayWeight, snapshot) +
            Pricing.idleCost(type, price, unused, snapshot) * (type.bootS + Pricing.assumedServiceRunS(snapshot)) +
            Pricing.strandedCapacityCost(type, price, type.resources(), need, snapshot)
    }

    private fun costIndex(spot: Boolean) = if (spot) 1 else 0

    private companion object {
        val SPOT_OPTIONS = listOf(true, false)
        const val MIN_SHARE = 1e-9
    }
}
