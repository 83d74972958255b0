package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.standin.SimWorker
import oxbowlug.wire.ClassName
import oxbowlug.wire.JobKind
import oxbowlug.wire.Priority
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName

/**
 * A worker that hears no answers begins a new incarnation, of which its leader learns by a direct command's answer
 * alone, starts tasks in it, and doesn't hear from it for the rest of a lease (docs/incidents/broke-at-size-2.md).
 */
internal class UnobservedIncarnationTest {
    private class Day(
        seed: Long,
    ) {
        val simulation =
            Simulation(
                seed,
                parameters = SimulationParameters(nodes = 1, initialMachines = 4, teamLimits = LIMITS, leaseMs = LEASE_MS),
            )
        lateinit var worker: SimWorker

        private fun at(
            ms: Long,
            action: () -> Unit,
        ) = simulation.time.after(ms - simulation.time.nowMs, action)

        /** Long tasks in both zones; an array's machine isn't given back early for its silence. */
        private fun submitSpread(
            id: String,
            gpus: Double,
        ) = simulation.submit(
            simulation.randomSpec(id).copy(
                className = ClassName("nightly"),
                team = TeamName("red"),
                kind = JobKind.ARRAY,
                priority = Priority.NORMAL,
                tasks = TASKS,
                gpus = gpus,
                types = listOf(TypeName("g8")),
                zone = null,
                oneZone = false,
                spread = true,
                spot = false,
                runEstimateS = TASK_MS / 1000.0,
                checkpointS = 0.0,
            ),
            TASK_MS,
        )

        fun play() {
            at(BASE_JOB_MS) { submitSpread("base", BASE_GPUS) }
            simulation.run(CALM_MS)
            worker = simulation.cloud.workers.first()
            // Its reports arrive and are answered; it hears nothing until its incarnation is over, and then reports
            // nothing.
            val over = worker.leaseStartedAt + LEASE_MS + WORKER_TICK_MS
            worker.unresponsiveUntil = over
            at(over - MUTE_BEFORE_MS) { worker.heartbeatsLostUntil = over + LEASE_MS - BACK_BEFORE_MS }
            // The first start is refused, which shows the new incarnation; with the second, all are executed there.
            at(over + FIRST_JOB_MS) { submitSpread("first", FIRST_GPUS) }
            at(over + SECOND_JOB_MS) { submitSpread("second", SECOND_GPUS) }
            // Given back for its silence, the machine would hide what runs on it.
            at(over + CLOUD_AWAY_MS) { simulation.cloud.down = true }
            at(over + CANCEL_MS) { listOf("first", "second").forEach(simulation::cancel) }
            simulation.run(over + END_MS)
        }

        private companion object {
            const val LEASE_MS = 12_000L
            val LIMITS = mapOf("red" to 100.0)
            const val TASKS = 4
            const val TASK_MS = 150_000L
            const val BASE_JOB_MS = 4_000L
            const val BASE_GPUS = 5.0
            const val CALM_MS = 15_000L
            const val WORKER_TICK_MS = 100L
            const val MUTE_BEFORE_MS = 1_100L
            const val BACK_BEFORE_MS = 1_050L
            const val FIRST_JOB_MS = 100L
            const val SECOND_JOB_MS = 600L
            const val CLOUD_AWAY_MS = 13_500L
            const val CANCEL_MS = 15_000L
            const val END_MS = 60_000L
            const val FIRST_GPUS = 1.0
            const val SECOND_GPUS = 1.0
        }
    }

    private fun ruleViolations(rule: String): List<String> =
        SEEDS.flatMap { seed ->
            val day = Day(seed)
            day.play()
            day.simulation.checker.ruleViolations
                .filter { rule in it }
                .take(1)
                .map { "seed $seed: $it" }
        }

    @Test
    fun `what was started in a incarnation that hasn't reported isn't started elsewhere`() =
        assertEquals(emptyList<String>(), ruleViolations("ran_twice"))

    @Test
    fun `what was started in a incarnation that hasn't reported ends when it is cancelled`() =
        assertEquals(emptyList<String>(), ruleViolations("ran_cancelled"))

    private companion object {
        /** Not each of them brings the meeting about: reports are a second apart, and the moments are few. */
        val SEEDS = 1L..40L
    }
}
