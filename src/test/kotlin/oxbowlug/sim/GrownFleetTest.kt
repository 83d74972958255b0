package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.record.Keys

/** The size that the deployments have grown to: five controllers, 200 machines, hundreds of jobs. */
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
        val day = Simulation(7, parameters = parameters)
        day.submitRandomJobs(everyMs = 900, untilMs = 150_000)
        day.time.after(90_000) {
            val label =
                day.store
                    .entry(Keys.LEADERSHIP)
                    ?.value
                    ?.get("leader")
            val leader = day.nodes.first { it.label == label }
            leader.crash()
            day.time.after(5_000) { leader.start() }
        }
        day.run(240_000)
        assertEquals(emptyList<String>(), day.checker.ruleViolations.take(5))
        assertTrue(day.checker.starts > 500, "only ${day.checker.starts} starts")
        assertEquals(emptyList<String>(), day.checker.unfinished().take(5))
        assertBounded(day)
    }

    /** Counted work, never the clock: the bounds catch costs that grow with the fleet, and work done in turn. */
    private fun assertBounded(day: Simulation) {
        val jobs = day.checker.jobs.values
        val tasks = jobs.sumOf { it.spec.tasks }
        val plans = day.nodes.sumOf { it.plans }
        val priced = day.nodes.sumOf { it.priced }
        assertTrue(day.checker.starts <= tasks * 1.2, "${day.checker.starts} starts for $tasks tasks")
        assertTrue(priced <= plans * MACHINES * 12, "$priced machines priced in $plans plans")
        assertTrue(day.store.writes <= jobs.size * 8, "${day.store.writes} writes for ${jobs.size} jobs")
        assertTrue(day.cloud.rentalCalls <= MACHINES / 2, "${day.cloud.rentalCalls} rentals")
    }

    private companion object {
        const val MACHINES = 200
    }
}
