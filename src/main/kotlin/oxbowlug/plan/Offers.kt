package oxbowlug.plan

import it.unimi.dsi.fastutil.doubles.DoubleArrayList
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
 * longer than its users wait for an answer.
 */
class Offers(private val machines: List<PlanMachine>, private val snapshot: Snapshot) {
    private class Prices(val room: Room) {
        val cost = DoubleArrayList()

        /** The machine's count of changes at which it was priced. */
        val pricedAt = IntArrayList()
    }

    private val prices = Room.entries.map(::Prices)
    private val zones = ArrayList<Zone>()
    private val zoneOf = IntArrayList()
    private var allowed = BooleanArray(0)
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
        for (column in prices) {
            column.cost.clear()
            column.pricedAt.clear()
        }
    }

    fun cheapest(room: Room, rule: ZoneRule): Offer? {
        val column = prices[room.ordinal]
        update(column)
        allowZones(rule)
        var best = -1
        var bestCost = Double.POSITIVE_INFINITY
        for (index in machines.indices) {
            val cost = column.cost.getDouble(index)
            if (cost < bestCost && allowed[zoneOf.getInt(index)]) {
                best = index
                bestCost = cost
            }
        }
        if (best < 0) return null
        val machine = machines[best]
        val isScarce = scarcity(machine) > SCARCE
        return Offer(machine, bestCost, delayS(machine, room), strandCost(machine) > 0.0, isScarce)
    }

    private fun update(column: Prices) {
        val known = column.cost.size
        for (index in 0 until known) {
            val machine = machines[index]
            if (column.pricedAt.getInt(index) == machine.changes) continue
            column.pricedAt.set(index, machine.changes)
            column.cost.set(index, price(machine, column.room))
        }
        for (index in known until machines.size) {
            column.pricedAt.add(machines[index].changes)
            column.cost.add(price(machines[index], column.room))
        }
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
