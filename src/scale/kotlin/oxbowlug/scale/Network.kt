package oxbowlug.scale

import oxbowlug.standin.World
import oxbowlug.wire.Zone

/**
 * Latencies between zones and regions, and cuts between them or between single ends. A cut holds what is sent and
 * delivers it in order when it ends, as the protocol warns: so commands, reports and transactions arrive late.
 */
internal class Network(private val world: World, private val topology: Topology) {
    private class Partition(val untilMs: Long, val separates: (Endpoint, Endpoint) -> Boolean)

    private val partitions = ArrayList<Partition>()

    /** Messages that a cut held. */
    var heldMessages = 0L
        private set

    /** Called as a message is handed over: a clock that fell behind has to follow before it is dated. */
    var beforeDelivery: () -> Unit = {}

    /** Shares of the messages between controllers and workers that are lost, or come [EXTRA_DELAY_MS] later. */
    var workerLossProbability = 0.0
    var workerDelayProbability = 0.0

    /** One way, in milliseconds: real networks of this shape, rounded. */
    private fun latencyMs(from: Zone?, to: Zone?): Long = when {
        from == to -> SAME_ZONE_MS
        topology.region(from) == topology.region(to) -> SAME_REGION_MS
        else -> OTHER_REGION_MS
    }

    fun cutZone(zone: Zone, forMs: Long) = cutZones(forMs) { from, to -> from != to && (from == zone || to == zone) }

    fun cutRegions(one: Int, other: Int, forMs: Long) = cutZones(forMs) { from, to ->
        setOf(topology.region(from), topology.region(to)) == setOf(one, other)
    }

    private fun cutZones(forMs: Long, separates: (Zone?, Zone?) -> Boolean) =
        cutLinks(forMs) { from, to -> separates(from.zone, to.zone) }

    /** Cuts all messages for which [separates] holds, in that direction alone. */
    fun cutLinks(forMs: Long, separates: (Endpoint, Endpoint) -> Boolean) {
        partitions.add(Partition(world.nowMs + forMs, separates))
    }

    fun isCut(from: Endpoint, to: Endpoint): Boolean = heldUntil(from, to) > world.nowMs

    private fun heldUntil(from: Endpoint, to: Endpoint): Long {
        partitions.removeIf { it.untilMs <= world.nowMs }
        return partitions.filter { it.separates(from, to) }.maxOfOrNull { it.untilMs } ?: 0L
    }

    /** Runs [action] at the other end, once the message has got there. */
    fun deliver(from: Endpoint, to: Endpoint, action: () -> Unit) {
        beforeDelivery()
        val until = if (partitions.isEmpty()) 0L else heldUntil(from, to)
        if (until > world.nowMs) heldMessages++
        val isToWorker = from is Endpoint.Worker || to is Endpoint.Worker
        if (isToWorker && occurs(workerLossProbability)) return
        val lateMs = if (isToWorker && occurs(workerDelayProbability)) world.between(EXTRA_DELAY_MS) else 0L
        world.after(maxOf(until - world.nowMs, 0L) + latencyMs(from.zone, to.zone) + lateMs, action)
    }

    private fun occurs(share: Double): Boolean = share > 0.0 && world.chance(share)

    private companion object {
        const val SAME_ZONE_MS = 0L
        const val SAME_REGION_MS = 1L
        const val OTHER_REGION_MS = 25L
        val EXTRA_DELAY_MS = 1_000L..8_000L
    }
}
