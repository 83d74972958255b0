package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.record.Keys

/** Five controllers and 1,200 machines, the most that is planned for, on a day on which many things fall together. */
internal class FleetSizeTest {
    @Test
    fun `a large fleet keeps the rules through a cut zone, a mass loss and the end of all controllers`() {
        val parameters =
            SimulationParameters(
                nodes = 5,
                initialMachines = 900,
                capacity = MACHINES,
                teamLimits = mapOf("red" to 5_000.0, "blue" to 3_000.0),
                teamGuarantee = 1_500.0,
                writeRps = 70.0,
                initialJobs = 950,
                maxServiceTasks = 8,
                maxArrayTasks = 60,
                serviceDurationMs = 60_000L..150_000L,
                checkIntervalMs = 500,
                heartbeatIntervalMs = 2_500,
                leaseMs = 15_000,
            )
        val day = Simulation(11, parameters = parameters)
        day.submitRandomJobs(everyMs = 350, untilMs = 90_000)
        day.time.after(35_000) { day.activeFaults.isolatedZones.add(day.zones[1]) }
        day.time.after(42_000) { crash(day, leader(day)) }
        day.time.after(62_000) { day.activeFaults.isolatedZones.clear() }
        day.time.after(75_000) { repeat(60) { day.randomWorker()?.let { day.cloud.fail(it.id) } } }
        day.time.after(95_000) { day.store.down = true }
        day.time.after(100_000) { for (node in day.nodes) crash(day, node) }
        day.time.after(108_000) { day.store.down = false }
        day.run(260_000)
        assertEquals(emptyList<String>(), day.checker.ruleViolations.take(5))
        assertTrue(day.checker.starts > 4_000, "only ${day.checker.starts} starts")
        assertEquals(emptyList<String>(), day.checker.unfinished().take(5))
        assertBounded(day)
    }

    private fun leader(day: Simulation): SimNode {
        val label =
            day.store
                .entry(Keys.LEADERSHIP)
                ?.value
                ?.get("leader")
        return day.nodes.first { it.label == label }
    }

    private fun crash(
        day: Simulation,
        node: SimNode,
    ) {
        node.crash()
        day.time.after(5_000) { if (!node.isUp) node.start() }
    }

    /** Counted work, never the clock. */
    private fun assertBounded(day: Simulation) {
        val jobs = day.checker.jobs.values
        val plans = day.nodes.sumOf { it.plans }
        val priced = day.nodes.sumOf { it.priced }
        assertTrue(priced <= plans * MACHINES * 12, "$priced machines priced in $plans plans")
        assertTrue(day.store.writes <= jobs.size * 8, "${day.store.writes} writes for ${jobs.size} jobs")
        assertTrue(day.cloud.rentalCalls <= MACHINES / 4, "${day.cloud.rentalCalls} rentals")
    }

    private companion object {
        const val MACHINES = 1_200
    }
}
