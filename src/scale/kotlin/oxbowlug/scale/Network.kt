package oxbowlug.scale

import oxbowlug.standin.VirtualTime
import oxbowlug.wire.Zone

/**
 * Latencies between zones and regions, and cuts between them or between single ends. A cut holds what is sent and
 * delivers it in order when it ends, as the protocol warns: so commands, reports and transactions arrive late.
 */
internal class Network(private val time: VirtualTime, private val topology: Topology) {
    private class Cut(val untilMs: Long, val parts: (Endpoint, Endpoint) -> Boolean)

    private val cuts = ArrayList<Cut>()

    /** Messages that a cut held. */
    var held = 0L
        private set

    /** Called as a message is handed over: a clock that fell behind has to follow before it is dated. */
    var beforeDelivery: () -> Unit = {}

    /** Shares of the messages between controllers and workers that are lost, or come [LATE_MS] later. */
    var lostToWorkers = 0.0
    var lateToWorkers = 0.0

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

    private fun cutZones(forMs: Long, parts: (Zone?, Zone?) -> Boolean) =
        cutLinks(forMs) { from, to -> parts(from.zone, to.zone) }

    /** Cuts all messages for which [parts] holds, in that direction alone. */
    fun cutLinks(forMs: Long, parts: (Endpoint, Endpoint) -> Boolean) {
        cuts.add(Cut(time.nowMs + forMs, parts))
    }

    fun isCut(from: Endpoint, to: Endpoint): Boolean = heldUntil(from, to) > time.nowMs

    private fun heldUntil(from: Endpoint, to: Endpoint): Long {
        cuts.removeIf { it.untilMs <= time.nowMs }
        return cuts.filter { it.parts(from, to) }.maxOfOrNull { it.untilMs } ?: 0L
    }

    /** Runs [action] at the other end, once the message has got there. */
    fun deliver(from: Endpoint, to: Endpoint, action: () -> Unit) {
        beforeDelivery()
        val until = if (cuts.isEmpty()) 0L else heldUntil(from, to)
        if (until > time.nowMs) held++
        val isToWorker = from is Endpoint.Worker || to is Endpoint.Worker
        if (isToWorker && happens(lostToWorkers)) return
        val lateMs = if (isToWorker && happens(lateToWorkers)) time.between(LATE_MS) else 0L
        time.after(maxOf(until - time.nowMs, 0L) + latencyMs(from.zone, to.zone) + lateMs, action)
    }

    private fun happens(share: Double): Boolean = share > 0.0 && time.chance(share)

    private companion object {
        const val SAME_ZONE_MS = 0L
        const val SAME_REGION_MS = 1L
        const val OTHER_REGION_MS = 25L
        val LATE_MS = 1_000L..8_000L
    }
}
