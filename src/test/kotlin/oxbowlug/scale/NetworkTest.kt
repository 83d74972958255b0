package oxbowlug.scale

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.Zone

internal class NetworkTest {
    private val time = VirtualTime(1)
    private val options =
        ScaleOptionParser().parse(listOf("--zones", "4", "--regions", "2", "--controllers", "3"))
            ?: error("only the help")
    private val topology = Topology(options)
    private val network = Network(time, topology)

    private fun end(zone: Zone?): Endpoint = if (zone == null) Endpoint.StateService else Endpoint.Worker(zone)

    private fun arrivals(
        from: Zone?,
        to: Zone?,
    ): Long {
        var at = -1L
        network.deliver(end(from), end(to)) { at = time.nowMs }
        time.advanceTo(time.nowMs + 60_000)
        return at
    }

    @Test
    fun `latency grows from a zone to its region to another region`() {
        val (first, _, third, _) = topology.zones
        val other = topology.zones[1]
        val began = time.nowMs
        val inZone = arrivals(first, first) - began
        val again = time.nowMs
        val inRegion = arrivals(first, third) - again
        val last = time.nowMs
        val toOther = arrivals(first, other) - last
        assertTrue(inZone < inRegion && inRegion < toOther, "$inZone, $inRegion and $toOther ms")
    }

    @Test
    fun `a cut holds messages and delivers them in order when it ends`() {
        val (first, second) = topology.zones
        network.cutZone(second, forMs = 5_000)
        val order = ArrayList<Pair<Int, Long>>()
        for (number in 1..3) {
            time.after(number * 100L) { network.deliver(end(first), end(second)) { order.add(number to time.nowMs) } }
        }
        time.advanceTo(4_999)
        assertEquals(emptyList<Int>(), order.map { it.first })
        time.after(2) { network.deliver(end(first), end(second)) { order.add(4 to time.nowMs) } }
        time.advanceTo(6_000)
        assertEquals(listOf(1, 2, 3, 4), order.map { it.first })
        assertTrue(order.all { it.second >= 5_000 })
        assertEquals(3, network.held)
    }

    @Test
    fun `regions apart still reach what is in their own`() {
        val (home, away) = topology.zones
        network.cutRegions(0, 1, forMs = 60_000)
        assertTrue(network.isCut(end(home), end(away)))
        assertTrue(network.isCut(end(away), end(null)), "the regional services are in the first region")
        assertTrue(!network.isCut(end(home), end(null)))
        assertTrue(!network.isCut(end(away), end(topology.zones[3])))
        time.advanceTo(60_001)
        assertTrue(!network.isCut(end(home), end(away)))
    }

    @Test
    fun `a link is cut in one direction alone`() {
        val leader = Endpoint.Controller(topology.controllers[0])
        network.cutLinks(forMs = 1_000) { from, to -> from == leader && to == Endpoint.StateService }
        assertTrue(network.isCut(leader, Endpoint.StateService))
        assertTrue(!network.isCut(Endpoint.StateService, leader))
        assertTrue(!network.isCut(Endpoint.Controller(topology.controllers[1]), Endpoint.StateService))
    }

    @Test
    fun `a worker's address tells who commands it and which worker is meant`() {
        val host = WorkerAddresses.host(number = 6_499, controller = 5)
        assertEquals(5, WorkerAddresses.controllerOf(host))
        assertEquals("${WorkerAddresses.host(6_499, 0)}:9000", WorkerAddresses.canonical(host, 9_000))
        assertEquals(null, WorkerAddresses.controllerOf("10.64.0.1"))
        assertEquals(null, WorkerAddresses.controllerOf("127.0.0.1"))
    }
}
