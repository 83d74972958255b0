package oxbowlug.plan

import it.unimi.dsi.fastutil.ints.IntArrayList
import oxbowlug.plan.index.ChangedMachines
import oxbowlug.plan.index.CostHeap
import oxbowlug.resource.Resources
import oxbowlug.resource.fetchS
import oxbowlug.wire.Zone

/** What one more task would cost at its cheapest place. */
internal class Offer(
    val machine: PlanMachine,
    val cost: Double,
    val delayS: Double,
    val strands: Boolean,
    /** Others need this room and can't rent more of it, while the job has another choice. */
    val isScarce: Boolean,
)

/** Which room of a machine is meant. */
internal enum class Room {
    /** Free on a machine that can be given work. */
    READY,

    /** Free once what is being stopped there is gone. */
    COMING,

    /** On a machine that isn't up yet. */
    BOOTING,
}

/**
 * The cheapest places for the tasks of one job. Its tasks are alike, so each machine is priced once for the job, and
 * again only after the plan has changed it: pricing every machine for every task made the plans of a large fleet
 * longer than its users wait for an answer. Machines without room for even the smallest task are passed over for the
 * rest of the plan: in a full fleet that is most of them, and free room only shrinks while planning.
 *
 * The first task of a job looks through the open machines; the second orders them by their costs, and from then on only
 * what the plan [changed] is looked at. Before that a plan's time grew with tasks times machines, and at some 3,000
 * machines it was longer than the leader's own lease.
 */
internal class Offers(
    private val machines: List<PlanMachine>,
    private val snapshot: Snapshot,
    private val changed: ChangedMachines,
) {
    private inner class Prices(
        val room: Room,
    ) : CostHeap.Costs {
        /** Machines that may still have room of this sort, by their index. */
        val open = IntArrayList()
        var known = 0
        var cost = DoubleArray(0)

        /** The job and the machine's count of changes for which it was priced. */
        var pricedAt = LongArray(0)

        /** The job for which the machines were looked through, and for which they were ordered. */
        var scannedFor = 0
        var orderedFor = 0

        /** How many of the plan's changes the order has followed. */
        var followed = 0
        private val byZone = ArrayList<CostHeap>()

        override fun of(index: Int): Double = cost[index]

        fun heap(zone: Int): CostHeap {
            while (byZone.size <= zone) byZone.add(CostHeap(this))
            return byZone[zone]
        }

        fun clearHeaps() = byZone.forEach { it.clear() }

        fun arrangeHeaps() = byZone.forEach { it.arrange() }
    }

    private val prices = Room.entries.map { Prices(it) }
    private val zones = ArrayList<Zone>()
    private val zoneOf = IntArrayList()
    private val least = leastNeed(snapshot.jobs)
    private var round = 0
    var priced = 0
        private set

    /** Machines looked at, priced anew or not: with [priced] the measure of the work. */
    var visited = 0L
        private set
    private lateinit var job: PlanJob
    private lateinit var need: Resources
    private var yields = false
    private var startWeight = 0.0

    /** What a guarantee covers doesn't spare scarce room for others, and its start is awaited. */
    fun begin(
        next: PlanJob,
        nextNeed: Resources,
        guaranteed: Boolean,
    ) {
        job = next
        need = nextNeed
        yields = !guaranteed && next.spec.spot
        startWeight = Pricing.startWeight(next, guaranteed, snapshot)
        round++
    }

    fun cheapest(
        room: Room,
        rule: ZoneRule,
    ): Offer? {
        val column = prices[room.ordinal]
        admitNew(column)
        val best =
            when {
                column.scannedFor != round -> scan(column, rule)
                else -> {
                    if (column.orderedFor != round) order(column)
                    follow(column)
                    cheapestOrdered(column, rule)
                }
            }
        if (best < 0) return null
        val machine = machines[best]
        val isScarce = scarcity(machine) > SCARCE
        return Offer(machine, column.cost[best], delayS(machine, room), strandedCapacityCost(machine) > 0.0, isScarce)
    }

    /** The cheapest by looking at each; those without room are passed over from now on. */
    private fun scan(
        column: Prices,
        rule: ZoneRule,
    ): Int {
        column.scannedFor = round
        val open = column.open
        var best = -1
        var bestCost = Double.POSITIVE_INFINITY
        var kept = 0
        for (position in open.indices) {
            val index = open.getInt(position)
            visited++
            if (!isOpen(machines[index], column.room)) continue
            open.set(kept++, index)
            val cost = cost(column, index)
            if (cost < bestCost && rule.allows(machines[index].zone)) {
                best = index
                bestCost = cost
            }
        }
        open.size(kept)
        return best
    }

    private fun order(column: Prices) {
        column.orderedFor = round
        column.followed = changed.size
        column.clearHeaps()
        for (position in column.open.indices) {
            val index = column.open.getInt(position)
            visited++
            if (cost(column, index) < Double.POSITIVE_INFINITY) column.heap(zoneOf.getInt(index)).append(index)
        }
        column.arrangeHeaps()
    }

    private fun follow(column: Prices) {
        while (column.followed < changed.size) {
            val index = changed.at(column.followed++)
            visited++
            cost(column, index)
            column.heap(zoneOf.getInt(index)).update(index)
        }
    }

    private fun cheapestOrdered(
        column: Prices,
        rule: ZoneRule,
    ): Int {
        var best = -1
        for (zone in zones.indices) {
            val first = column.heap(zone).first
            if (first < 0 || !rule.allows(zones[zone])) continue
            if (best < 0 || column.isCheaper(first, best)) best = first
        }
        return best
    }

    /** A stop may give any ready machine room that is coming, so none of them is ever passed over for that. */
    private fun isOpen(
        machine: PlanMachine,
        room: Room,
    ): Boolean =
        when (room) {
            Room.READY -> machine.isReady && least.fitsIn(machine.free)
            Room.COMING -> machine.isReady
            Room.BOOTING -> !machine.isReady && least.fitsIn(machine.free)
        }

    /** A machine that this plan rents may be wanted by the job for which the others are ordered already. */
    private fun admitNew(column: Prices) {
        if (column.known == machines.size) return
        if (column.cost.size < machines.size) {
            column.cost = column.cost.copyOf(machines.size * 2)
            column.pricedAt = column.pricedAt.copyOf(machines.size * 2)
        }
        while (zoneOf.size < machines.size) zoneOf.add(indexOfZone(machines[zoneOf.size].zone))
        while (column.known < machines.size) {
            val index = column.known++
            column.open.add(index)
            if (column.orderedFor != round) continue
            cost(column, index)
            column.heap(zoneOf.getInt(index)).update(index)
        }
    }

    private fun indexOfZone(zone: Zone): Int {
        val known = zones.indexOf(zone)
        if (known >= 0) return known
        zones.add(zone)
        return zones.size - 1
    }

    private fun cost(
        column: Prices,
        index: Int,
    ): Double {
        val machine = machines[index]
        val stamp = round.toLong().shl(Int.SIZE_BITS) or machine.changes.toLong()
        if (column.pricedAt[index] != stamp) {
            column.pricedAt[index] = stamp
            val isGettingNone = column.room == Room.COMING && !machine.isGettingRoom
            column.cost[index] = if (isGettingNone) Double.POSITIVE_INFINITY else price(machine, column.room)
        }
        return column.cost[index]
    }

    private fun leastNeed(jobs: List<PlanJob>): Resources {
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

    private fun price(
        machine: PlanMachine,
        room: Room,
    ): Double {
        priced++
        val fits =
            when (room) {
                Room.READY -> machine.isReady && need.fitsIn(machine.free)
                Room.COMING -> machine.isReady && machine.isGettingRoom && need.fitsIn(machine.free + machine.coming)
                Room.BOOTING -> !machine.isReady && need.fitsIn(machine.free)
            }
        if (!fits || !Constraints.allow(job, machine)) return Double.POSITIVE_INFINITY
        val price = machine.type.price(machine.spot)
        val paid = price * (1.0 + scarcity(machine))
        return Pricing.cost(job, need, machine.type, paid, delayS(machine, room), startWeight, snapshot) +
            Pricing.idleCost(machine.type, price, machine.free - need, snapshot) + strandedCapacityCost(machine)
    }

    private fun delayS(
        machine: PlanMachine,
        room: Room,
    ): Double = machine.readyInS + machine.fetchS(job.spec) + if (room == Room.COMING) COMING_S else 0.0

    private fun strandedCapacityCost(machine: PlanMachine): Double =
        Pricing.strandedCapacityCost(machine.type, machine.type.price(machine.spot), machine.free, need, snapshot)

    /** Spot work pays the refusal's penalty for ordinary room of a kind that refuses, as for a rental. */
    private fun scarcity(machine: PlanMachine): Double {
        if (machine.spot || !yields) return 0.0
        return snapshot.refusals[MachineKind(machine.type.name, machine.zone, spot = false)]?.penalty ?: 0.0
    }

    private companion object {
        /** Refusals longer ago than some half-lives of their price don't count any more. */
        const val SCARCE = 0.1

        /** Room that is coming free is there after about a heartbeat and a plan. */
        const val COMING_S = 2.0
    }
}
