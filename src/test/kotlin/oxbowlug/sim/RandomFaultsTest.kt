package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.config.WriteLimits
import oxbowlug.soak.FaultSchedule

/**
 * Randomly drawn faults, two or three overlapping at a time, on virtual time. CI runs a few seeds; `-Dsim.seeds=1000`
 * runs 1000. A failure that a seed finds gets a deterministic test of its own.
 */
internal class RandomFaultsTest {
    @Test
    fun `no combination of random faults breaks a rule`() {
        val failures = Seeds.all.mapNotNull(::failureMessage)
        assertEquals(emptyList<String>(), failures)
    }

    private fun failureMessage(seed: Long): String? {
        val parameters =
            SimulationParameters(
                nodes = 5,
                initialMachines = 8,
                initialJobs = 12,
                nextLimits = NEXT_LIMITS,
                checkIntervalMs = 100,
            )
        val simulation = Simulation(seed, parameters = parameters)
        simulation.submitRandomJobs(everyMs = 2_500, untilMs = SUBMIT_UNTIL_MS)
        simulation.submitPipelines(everyMs = 8_000, untilMs = SUBMIT_UNTIL_MS)
        val schedule = FaultSchedule.draw(seed, FAULT_GROUPS, FAULTS_FROM_MS, FAULTS_UNTIL_MS, parameters.leaseMs)
        SimulatedFaults(simulation, parameters.leaseMs).inject(schedule)
        simulation.run(END_MS)
        val ruleViolations = simulation.checker.ruleViolations.take(MAX_SHOWN)
        return if (ruleViolations.isEmpty()) null else "seed $seed: $ruleViolations\n$schedule"
    }

    private companion object {
        val NEXT_LIMITS = WriteLimits(writeRps = 30.0, valueKb = 0.58, txnOps = 4)
        const val FAULT_GROUPS = 5
        const val FAULTS_FROM_MS = 20_000L
        const val FAULTS_UNTIL_MS = 90_000L
        const val SUBMIT_UNTIL_MS = 120_000L
        const val END_MS = 180_000L
        const val MAX_SHOWN = 3
    }
}
