package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.record.Keys

/** Several faults in one run of the largest planned deployment: five controllers and 1,200 machines. */
internal class FleetSizeTest {
    @Test
    fun `a large fleet keeps the rules when a zone is cut off, many machines fail and all controllers crash`() {
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
        val simulation = Simulation(11, parameters = parameters)
        simulation.submitRandomJobs(everyMs = 350, untilMs = 90_000)
        simulation.time.after(35_000) { simulation.activeFaults.isolatedZones.add(simulation.zones[1]) }
        simulation.time.after(42_000) { crash(simulation, leader(simulation)) }
        simulation.time.after(62_000) { simulation.activeFaults.isolatedZones.clear() }
        simulation.time.after(75_000) {
            repeat(60) { simulation.randomWorker()?.let { simulation.cloud.fail(it.id) } }
        }
        simulation.time.after(95_000) { simulation.store.down = true }
        simulation.time.after(100_000) { for (node in simulation.nodes) crash(simulation, node) }
        simulation.time.after(108_000) { simulation.store.down = false }
        simulation.run(260_000)
        assertEquals(emptyList<String>(), simulation.checker.ruleViolations.take(5))
        assertTrue(simulation.checker.starts > 4_000, "only ${simulation.checker.starts} starts")
        assertEquals(emptyList<String>(), simulation.checker.unfinished().take(5))
        assertCostBounds(simulation)
    }

    private fun leader(simulation: Simulation): SimNode {
        val label =
            simulation.store
                .entry(Keys.LEADERSHIP)
                ?.value
                ?.get("leader")
        return simulation.nodes.first { it.label == label }
    }

    private fun crash(
        simulation: Simulation,
        node: SimNode,
    ) {
        node.crash()
        simulation.time.after(5_000) { if (!node.isUp) node.start() }
    }

    /** Bounds numbers of operations instead of elapsed time, which depends on the machine that runs the test. */
    private fun assertCostBounds(simulation: Simulation) {
        val jobs = simulation.checker.jobs.values
        val plans = simulation.nodes.sumOf { it.plans }
        val priced = simulation.nodes.sumOf { it.priced }
        assertTrue(priced <= plans * MACHINES * 12, "$priced machines priced in $plans plans")
        assertTrue(simulation.store.writes <= jobs.size * 8, "${simulation.store.writes} writes for ${jobs.size} jobs")
        assertTrue(simulation.cloud.rentalCalls <= MACHINES / 4, "${simulation.cloud.rentalCalls} rentals")
    }

    private companion object {
        const val MACHINES = 1_200
    }
}
