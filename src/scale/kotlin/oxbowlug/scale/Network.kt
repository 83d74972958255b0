package oxbowlug.scale

import oxbowlug.standin.World
import oxbowlug.wire.Zone

/**
 * Latencies between zones and regions, and cuts between them. A cut holds what is sent and delivers it in order when
 * it ends, as the protocol warns: so commands, reports and transactions arrive late.
 */
class Network(private val world: World, private val topology: Topology) {
    private class Cut(val untilMs: Long, val parts: (Zone?, Zone?) -> Boolean)

    private val cuts = ArrayList<Cut>()

    /** Messages that a cut held. */
    var held = 0L
        private set

    /** One way, in milliseconds: real networks of this shape, rounded. */
    private fun latencyMs(from: Zone?, to: Zone?): Long = when {
        from == to -> SAME_ZONE_MS
        topology.region(from) == topology.region(to) -> SAME_REGION_MS
        else -> OTHER_REGION_MS
    }

    fun cutZone(zone: Zone, forMs: Long) {
        cuts.add(Cut(world.nowMs + forMs) { from, to -> from != to && (from == zone || to == zone) })
    }

    fun cutRegions(one: Int, other: Int, forMs: Long) {
        cuts.add(
            Cut(world.nowMs + forMs) { from, to ->
                setOf(topology.region(from), topology.region(to)) == setOf(one, other)
            },
        )
    }

    fun isCut(from: Zone?, to: Zone?): Boolean = heldUntil(from, to) > world.nowMs

    private fun heldUntil(from: Zone?, to: Zone?): Long {
        cuts.removeIf { it.untilMs <= world.nowMs }
        return cuts.filter { it.parts(from, to) }.maxOfOrNull { it.untilMs } ?: 0L
    }

    /** Runs [action] at the other end, once the message has got there. */
    fun deliver(from: Zone?, to: Zone?, action: () -> Unit) {
        val until = if (cuts.isEmpty()) 0L else heldUntil(from, to)
        if (until > world.nowMs) held++
        world.after(maxOf(until - world.nowMs, 0L) + latencyMs(from, to), action)
    }

    private companion object {
        const val SAME_ZONE_MS = 0L
        const val SAME_REGION_MS = 1L
        const val OTHER_REGION_MS = 25L
    }
}
