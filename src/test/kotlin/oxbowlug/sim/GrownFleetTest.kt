package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.record.Keys

/** A leader crash at the size that deployments have grown to: five controllers, 200 machines, hundreds of jobs. */
internal class GrownFleetTest {
    @Test
    fun `a grown fleet keeps the rules while its leader crashes`() {
        val parameters =
            SimulationParameters(
                nodes = 5,
                initialMachines = 110,
                capacity = MACHINES,
                teamLimits = mapOf("red" to 800.0, "blue" to 600.0),
                teamGuarantee = 300.0,
                writeRps = 20.0,
                initialJobs = 120,
                maxServiceTasks = 8,
                maxArrayTasks = 60,
                serviceDurationMs = 60_000L..200_000L,
                checkIntervalMs = 100,
            )
        val simulation = Simulation(7, parameters = parameters)
        simulation.submitRandomJobs(everyMs = 900, untilMs = 150_000)
        simulation.time.after(90_000) {
            val label =
                simulation.store
                    .entry(Keys.LEADERSHIP)
                    ?.value
                    ?.get("leader")
            val leader = simulation.nodes.first { it.label == label }
            leader.crash()
            simulation.time.after(5_000) { leader.start() }
        }
        simulation.run(240_000)
        assertEquals(emptyList<String>(), simulation.checker.ruleViolations.take(5))
        assertTrue(simulation.checker.starts > 500, "only ${simulation.checker.starts} starts")
        assertEquals(emptyList<String>(), simulation.checker.unfinished().take(5))
        assertCostBounds(simulation)
    }

    /**
     * Bounds numbers of operations instead of elapsed time, which depends on the machine that runs the test. The bounds
     * catch costs that grow with the fleet, and work that is repeated or done item by item.
     */
    private fun assertCostBounds(simulation: Simulation) {
        val jobs = simulation.checker.jobs.values
        val tasks = jobs.sumOf { it.spec.tasks }
        val plans = simulation.nodes.sumOf { it.plans }
        val priced = simulation.nodes.sumOf { it.priced }
        assertTrue(simulation.checker.starts <= tasks * 1.2, "${simulation.checker.starts} starts for $tasks tasks")
        assertTrue(priced <= plans * MACHINES * 12, "$priced machines priced in $plans plans")
        assertTrue(simulation.store.writes <= jobs.size * 8, "${simulation.store.writes} writes for ${jobs.size} jobs")
        assertTrue(simulation.cloud.rentalCalls <= MACHINES / 2, "${simulation.cloud.rentalCalls} rentals")
    }

    private companion object {
        const val MACHINES = 200
    }
}
