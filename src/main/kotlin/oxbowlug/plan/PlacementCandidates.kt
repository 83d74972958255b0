package oxbowlug.plan

import it.unimi.dsi.fastutil.ints.IntArrayList
import oxbowlug.plan.index.ChangedMachines
import oxbowlug.plan.index.CostHeap
import oxbowlug.resource.Resources
import oxbowlug.resource.fetchS
import oxbowlug.wire.Zone

/** The cheapest placement of one more task of a job on one kind of capacity. */
internal class PlacementCandidate(
    val machine: PlanMachine,
    val cost: Double,
    val delayS: Double,
    val strandsGpus: Boolean,
    /** On-demand capacity of a kind that the cloud refused lately, while the job could use spot machines instead. */
    val isScarce: Boolean,
)

/** Kinds of capacity that a task can be placed on. */
internal enum class Capacity {
    /** Free on a ready machine. */
    FREE,

    /** On a ready machine, free once the tasks that are being stopped there have exited. */
    PENDING_FREE,

    /** Free on a machine that is ordered, booting, or not in contact with this leader yet. */
    BOOTING,
}

/**
 * Finds the cheapest placement for each task of a job. The tasks of a job have the same needs, so a machine's cost is
 * computed once per job, and again only after the plan changed the machine. Computing it for every task made the plans
 * of a large fleet take longer than its users wait for an answer. Machines without capacity for even the smallest need
 * are skipped for the rest of the plan: in a full fleet these are most machines, and free capacity only shrinks.
 *
 * The first task of a job scans the remaining machines. The second builds heaps by cost, and from then on only the
 * [changedMachines] are evaluated. When every task scanned all machines, a plan took time proportional to tasks times
 * machines, and at some 3,000 machines it took longer than the leader's lease.
 */
internal class PlacementCandidates(
    private val machines: List<PlanMachine>,
    private val snapshot: Snapshot,
    private val changedMachines: ChangedMachines,
) {
    private inner class CostTable(
        val capacity: Capacity,
    ) : CostHeap.Costs {
        /** Indexes of the machines that may still have capacity of this kind. */
        val openMachines = IntArrayList()
        var knownMachines = 0
        var costs = DoubleArray(0)

        /** By machine, the job number and the machine's change count for which its cost was computed. */
        var evaluationStamps = LongArray(0)

        /** The last job for which the machines were scanned, and the last one for which the heaps were built. */
        var scannedJobNumber = 0
        var orderedJobNumber = 0

        /** How many of the recorded changes the heaps reflect. */
        var appliedChanges = 0
        private val heapsByZone = ArrayList<CostHeap>()

        override fun costOf(index: Int): Double = costs[index]

        fun heap(zone: Int): CostHeap {
            while (heapsByZone.size <= zone) heapsByZone.add(CostHeap(this))
            return heapsByZone[zone]
        }

        fun clearHeaps() = heapsByZone.forEach { it.clear() }

        fun heapifyAll() = heapsByZone.forEach { it.heapify() }
    }

    private val tables = Capacity.entries.map { CostTable(it) }
    private val zones = ArrayList<Zone>()
    private val zoneIndexes = IntArrayList()
    private val smallestNeed = smallestNeedOf(snapshot.jobs)
    private var jobNumber = 0
    var priced = 0
        private set

    /** Machines looked at, whether their cost was computed or cached; with [priced] the measure of the work. */
    var visited = 0L
        private set
    private lateinit var job: PlanJob
    private lateinit var need: Resources
    private var paysForScarcity = false
    private var startDelayWeight = 0.0

    /** Starts with job [next]. Work within a guarantee pays no scarcity penalty, but its start delay costs more. */
    fun begin(
        next: PlanJob,
        nextNeed: Resources,
        guaranteed: Boolean,
    ) {
        job = next
        need = nextNeed
        paysForScarcity = !guaranteed && next.spec.spot
        startDelayWeight = Pricing.startDelayWeight(next, guaranteed, snapshot)
        jobNumber++
    }

    fun cheapest(
        capacity: Capacity,
        rule: ZoneRule,
    ): PlacementCandidate? {
        val table = tables[capacity.ordinal]
        addNewMachines(table)
        val best =
            when {
                table.scannedJobNumber != jobNumber -> scan(table, rule)
                else -> {
                    if (table.orderedJobNumber != jobNumber) buildHeaps(table)
                    applyChanges(table)
                    cheapestInHeaps(table, rule)
                }
            }
        if (best < 0) return null
        val machine = machines[best]
        val isScarce = scarcity(machine) > SCARCITY_THRESHOLD
        return PlacementCandidate(
            machine,
            table.costs[best],
            delayS(machine, capacity),
            strandedCapacityCost(machine) > 0.0,
            isScarce,
        )
    }

    /** Evaluates each open machine, and drops those without capacity from the open ones. */
    private fun scan(
        table: CostTable,
        rule: ZoneRule,
    ): Int {
        table.scannedJobNumber = jobNumber
        val openMachines = table.openMachines
        var best = -1
        var bestCost = Double.POSITIVE_INFINITY
        var kept = 0
        for (position in openMachines.indices) {
            val index = openMachines.getInt(position)
            visited++
            if (!mayHaveCapacity(machines[index], table.capacity)) continue
            openMachines.set(kept++, index)
            val cost = cost(table, index)
            if (cost < bestCost && rule.allows(machines[index].zone)) {
                best = index
                bestCost = cost
            }
        }
        openMachines.size(kept)
        return best
    }

    private fun buildHeaps(table: CostTable) {
        table.orderedJobNumber = jobNumber
        table.appliedChanges = changedMachines.size
        table.clearHeaps()
        for (position in table.openMachines.indices) {
            val index = table.openMachines.getInt(position)
            visited++
            if (cost(table, index) < Double.POSITIVE_INFINITY) table.heap(zoneIndexes.getInt(index)).append(index)
        }
        table.heapifyAll()
    }

    private fun applyChanges(table: CostTable) {
        while (table.appliedChanges < changedMachines.size) {
            val index = changedMachines.at(table.appliedChanges++)
            visited++
            cost(table, index)
            table.heap(zoneIndexes.getInt(index)).update(index)
        }
    }

    private fun cheapestInHeaps(
        table: CostTable,
        rule: ZoneRule,
    ): Int {
        var best = -1
        for (zone in zones.indices) {
            val first = table.heap(zone).first
            if (first < 0 || !rule.allows(zones[zone])) continue
            if (best < 0 || table.isCheaper(first, best)) best = first
        }
        return best
    }

    /** A planned stop can give any ready machine pending capacity, so no ready machine is dropped for that kind. */
    private fun mayHaveCapacity(
        machine: PlanMachine,
        capacity: Capacity,
    ): Boolean =
        when (capacity) {
            Capacity.FREE -> machine.isReady && smallestNeed.fitsIn(machine.free)
            Capacity.PENDING_FREE -> machine.isReady
            Capacity.BOOTING -> !machine.isReady && smallestNeed.fitsIn(machine.free)
        }

    /** Adds machines that this plan rented since, also to the heaps if they are built for the present job. */
    private fun addNewMachines(table: CostTable) {
        if (table.knownMachines == machines.size) return
        if (table.costs.size < machines.size) {
            table.costs = table.costs.copyOf(machines.size * 2)
            table.evaluationStamps = table.evaluationStamps.copyOf(machines.size * 2)
        }
        while (zoneIndexes.size < machines.size) zoneIndexes.add(indexOfZone(machines[zoneIndexes.size].zone))
        while (table.knownMachines < machines.size) {
            val index = table.knownMachines++
            table.openMachines.add(index)
            if (table.orderedJobNumber != jobNumber) continue
            cost(table, index)
            table.heap(zoneIndexes.getInt(index)).update(index)
        }
    }

    private fun indexOfZone(zone: Zone): Int {
        val knownIndex = zones.indexOf(zone)
        if (knownIndex >= 0) return knownIndex
        zones.add(zone)
        return zones.size - 1
    }

    private fun cost(
        table: CostTable,
        index: Int,
    ): Double {
        val machine = machines[index]
        val stamp = jobNumber.toLong().shl(Int.SIZE_BITS) or machine.changeCount.toLong()
        if (table.evaluationStamps[index] != stamp) {
            table.evaluationStamps[index] = stamp
            val hasNoPendingFree = table.capacity == Capacity.PENDING_FREE && !machine.hasPendingFree
            table.costs[index] =
                if (hasNoPendingFree) Double.POSITIVE_INFINITY else computeCost(machine, table.capacity)
        }
        return table.costs[index]
    }

    /** The smallest amount of each resource that any of the jobs needs. */
    private fun smallestNeedOf(jobs: List<PlanJob>): Resources {
        var cores = Double.POSITIVE_INFINITY
        var gpus = Double.POSITIVE_INFINITY
        var memoryGb = Double.POSITIVE_INFINITY
        for (next in jobs) {
            cores = minOf(cores, next.spec.cores)
            gpus = minOf(gpus, next.spec.gpus)
            memoryGb = minOf(memoryGb, next.spec.memoryGb)
        }
        return Resources(cores, gpus, memoryGb)
    }

    private fun computeCost(
        machine: PlanMachine,
        capacity: Capacity,
    ): Double {
        priced++
        val fits =
            when (capacity) {
                Capacity.FREE -> machine.isReady && need.fitsIn(machine.free)
                Capacity.PENDING_FREE ->
                    machine.isReady && machine.hasPendingFree && need.fitsIn(machine.free + machine.pendingFree)
                Capacity.BOOTING -> !machine.isReady && need.fitsIn(machine.free)
            }
        if (!fits || !Constraints.allow(job, machine)) return Double.POSITIVE_INFINITY
        val price = machine.type.price(machine.spot)
        val paid = price * (1.0 + scarcity(machine))
        return Pricing.cost(job, need, machine.type, paid, delayS(machine, capacity), startDelayWeight, snapshot) +
            Pricing.idleCost(machine.type, price, machine.free - need, snapshot) + strandedCapacityCost(machine)
    }

    private fun delayS(
        machine: PlanMachine,
        capacity: Capacity,
    ): Double =
        machine.readyInS + machine.fetchS(job.spec) + if (capacity == Capacity.PENDING_FREE) STOP_LATENCY_S else 0.0

    private fun strandedCapacityCost(machine: PlanMachine): Double =
        Pricing.strandedCapacityCost(machine.type, machine.type.price(machine.spot), machine.free, need, snapshot)

    /** Jobs that can use spot machines pay for scarce on-demand capacity the same refusal penalty as for a rental. */
    private fun scarcity(machine: PlanMachine): Double {
        if (machine.spot || !paysForScarcity) return 0.0
        return snapshot.refusals[MachineKind(machine.type.name, machine.zone, spot = false)]?.penalty ?: 0.0
    }

    private companion object {
        /** A refusal's penalty halves with each half-life; below this value the refusal no longer counts. */
        const val SCARCITY_THRESHOLD = 0.1

        /** Pending capacity comes free after about one heartbeat and one planning round. */
        const val STOP_LATENCY_S = 2.0
    }
}
