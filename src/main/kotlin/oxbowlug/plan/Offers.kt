package oxbowlug.plan

import it.unimi.dsi.fastutil.ints.IntArrayList
import oxbowlug.wire.Zone

/** What one more task would cost at its cheapest place. */
class Offer(
    val machine: PlanMachine,
    val cost: Double,
    val delayS: Double,
    val strands: Boolean,
    /** Others need this room and can't rent more of it, while the job has another choice. */
    val isScarce: Boolean,
)

/** Which room of a machine is meant. */
enum class Room {
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
 */
class Offers(private val machines: List<PlanMachine>, private val snapshot: Snapshot) {
    private class Prices(val room: Room) {
        /** Machines that may still have room of this sort, by their index. */
        val open = IntArrayList()
        var known = 0
        var cost = DoubleArray(0)

        /** The job and the machine's count of changes for which it was priced. */
        var pricedAt = LongArray(0)
    }

    private val prices = Room.entries.map(::Prices)
    private val zones = ArrayList<Zone>()
    private val zoneOf = IntArrayList()
    private var allowed = BooleanArray(0)
    private val least = leastNeed(snapshot.jobs)
    private var round = 0
    var priced = 0
        private set
    private lateinit var job: PlanJob
    private lateinit var need: Amounts
    private var yields = false
    private var startWeight = 0.0

    /** What a guarantee covers doesn't spare scarce room for others, and its start is awaited. */
    fun begin(next: PlanJob, nextNeed: Amounts, guaranteed: Boolean) {
        job = next
        need = nextNeed
        yields = !guaranteed && next.spec.spot
        startWeight = Pricing.startWeight(next, guaranteed, snapshot)
        round++
    }

    fun cheapest(room: Room, rule: ZoneRule): Offer? {
        val column = prices[room.ordinal]
        admitNew(column)
        allowZones(rule)
        val open = column.open
        var best = -1
        var bestCost = Double.POSITIVE_INFINITY
        var kept = 0
        for (position in open.indices) {
            val index = open.getInt(position)
            if (!isOpen(machines[index], room)) continue
            open.set(kept++, index)
            val cost = cost(column, index)
            if (cost < bestCost && allowed[zoneOf.getInt(index)]) {
                best = index
                bestCost = cost
            }
        }
        open.size(kept)
        if (best < 0) return null
        val machine = machines[best]
        val isScarce = scarcity(machine) > SCARCE
        return Offer(machine, bestCost, delayS(machine, room), strandCost(machine) > 0.0, isScarce)
    }

    /** A stop may give any ready machine room that is coming, so none of them is ever passed over for that. */
    private fun isOpen(machine: PlanMachine, room: Room): Boolean = when (room) {
        Room.READY -> machine.isReady && least.fitsIn(machine.free)
        Room.COMING -> machine.isReady
        Room.BOOTING -> !machine.isReady && least.fitsIn(machine.free)
    }

    private fun admitNew(column: Prices) {
        if (column.known == machines.size) return
        if (column.cost.size < machines.size) {
            column.cost = column.cost.copyOf(machines.size * 2)
            column.pricedAt = column.pricedAt.copyOf(machines.size * 2)
        }
        while (column.known < machines.size) column.open.add(column.known++)
    }

    private fun cost(column: Prices, index: Int): Double {
        val machine = machines[index]
        if (column.room == Room.COMING && !machine.isGettingRoom) return Double.POSITIVE_INFINITY
        val stamp = round.toLong().shl(Int.SIZE_BITS) or machine.changes.toLong()
        if (column.pricedAt[index] != stamp) {
            column.pricedAt[index] = stamp
            column.cost[index] = price(machine, column.room)
        }
        return column.cost[index]
    }

    private fun leastNeed(jobs: List<PlanJob>): Amounts {
        var cores = Double.POSITIVE_INFINITY
        var gpus = Double.POSITIVE_INFINITY
        var memoryGb = Double.POSITIVE_INFINITY
        for (next in jobs) {
            cores = minOf(cores, next.spec.cores)
            gpus = minOf(gpus, next.spec.gpus)
            memoryGb = minOf(memoryGb, next.spec.memoryGb)
        }
        return Amounts(cores, gpus, memoryGb)
    }

    private fun allowZones(rule: ZoneRule) {
        for (index in zoneOf.size until machines.size) {
            var zone = zones.indexOf(machines[index].zone)
            if (zone < 0) {
                zone = zones.size
                zones.add(machines[index].zone)
            }
            zoneOf.add(zone)
        }
        if (allowed.size < zones.size) allowed = BooleanArray(zones.size)
        for (index in zones.indices) allowed[index] = rule.allows(zones[index])
    }

    private fun price(machine: PlanMachine, room: Room): Double {
        priced++
        val fits = when (room) {
            Room.READY -> machine.isReady && need.fitsIn(machine.free)
            Room.COMING -> machine.isReady && machine.isGettingRoom && need.fitsIn(machine.free + machine.coming)
            Room.BOOTING -> !machine.isReady && need.fitsIn(machine.free)
        }
        if (!fits || !Constraints.allow(job, machine)) return Double.POSITIVE_INFINITY
        val price = machine.type.price(machine.spot)
        val paid = price * (1.0 + scarcity(machine))
        return Pricing.cost(job, need, machine.type, paid, delayS(machine, room), startWeight, snapshot) +
            Pricing.idleCost(machine.type, price, machine.free - need, snapshot) + strandCost(machine)
    }

    private fun delayS(machine: PlanMachine, room: Room): Double =
        machine.readyInS + machine.fetchS(job.spec) + if (room == Room.COMING) COMING_S else 0.0

    private fun strandCost(machine: PlanMachine): Double =
        Pricing.strandCost(machine.type, machine.type.price(machine.spot), machine.free, need, snapshot)

    /** Spot work pays the refusal's penalty for ordinary room of a kind that refuses, as for a rental. */
    private fun scarcity(machine: PlanMachine): Double {
        if (machine.spot || !yields) return 0.0
        return snapshot.refusals[Kind(machine.type.name, machine.zone, spot = false)]?.penalty ?: 0.0
    }

    private companion object {
        /** Refusals longer ago than some half-lives of their price don't count any more. */
        const val SCARCE = 0.1

        /** Room that is coming free is there after about a report and a plan. */
        const val COMING_S = 2.0
    }
}
