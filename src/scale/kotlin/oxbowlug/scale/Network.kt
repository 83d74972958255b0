package oxbowlug.scale

import oxbowlug.standin.VirtualTime
import oxbowlug.wire.Zone

/**
 * Simulates latencies between zones and regions, and network partitions between them or between single endpoints. A
 * partition holds the messages and delivers them in order when it ends, as the protocol warns: so commands, heartbeats
 * and transactions can arrive late.
 */
internal class Network(private val time: VirtualTime, private val topology: Topology) {
    private class Partition(val untilMs: Long, val separates: (Endpoint, Endpoint) -> Boolean)

    private val partitions = ArrayList<Partition>()

    /** Number of messages that partitions have held. */
    var heldMessages = 0L
        private set

    /** Called before a message is scheduled: a clock that lags behind has to catch up first. */
    var beforeDelivery: () -> Unit = {}

    /** Probabilities that a message between controller and worker is lost, or is delayed by [EXTRA_DELAY_MS]. */
    var workerLossProbability = 0.0
    var workerDelayProbability = 0.0

    /** One-way latency in milliseconds, rounded from real networks with zones and regions. */
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

    /** Holds all messages for which [separates] holds, in that direction only. */
    fun cutLinks(forMs: Long, separates: (Endpoint, Endpoint) -> Boolean) {
        partitions.add(Partition(time.nowMs + forMs, separates))
    }

    fun isCut(from: Endpoint, to: Endpoint): Boolean = heldUntil(from, to) > time.nowMs

    private fun heldUntil(from: Endpoint, to: Endpoint): Long {
        partitions.removeIf { it.untilMs <= time.nowMs }
        return partitions.filter { it.separates(from, to) }.maxOfOrNull { it.untilMs } ?: 0L
    }

    /** Runs [action] when the message arrives at [to]; never, if the message is lost. */
    fun deliver(from: Endpoint, to: Endpoint, action: () -> Unit) {
        beforeDelivery()
        val until = if (partitions.isEmpty()) 0L else heldUntil(from, to)
        if (until > time.nowMs) heldMessages++
        val isWorkerMessage = from is Endpoint.Worker || to is Endpoint.Worker
        if (isWorkerMessage && occurs(workerLossProbability)) return
        val extraDelayMs = if (isWorkerMessage && occurs(workerDelayProbability)) time.between(EXTRA_DELAY_MS) else 0L
        time.after(maxOf(until - time.nowMs, 0L) + latencyMs(from.zone, to.zone) + extraDelayMs, action)
    }

    private fun occurs(probability: Double): Boolean = probability > 0.0 && time.chance(probability)

    private companion object {
        const val SAME_ZONE_MS = 0L
        const val SAME_REGION_MS = 1L
        const val OTHER_REGION_MS = 25L
        val EXTRA_DELAY_MS = 1_000L..8_000L
    }
}
