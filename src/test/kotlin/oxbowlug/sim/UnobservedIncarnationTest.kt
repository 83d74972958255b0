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
 * A worker that gets no responses loses its lease and begins a new incarnation. The leader learns of this incarnation
 * only from the answer to a direct command, starts tasks in it, and receives no heartbeat from it for the rest of a
 * lease (docs/incidents/broke-at-size-2.md).
 */
internal class UnobservedIncarnationTest {
    private class Scenario(
        seed: Long,
    ) {
        val simulation =
            Simulation(
                seed,
                parameters =
                    SimulationParameters(
                        nodes = 1,
                        initialMachines = 4,
                        teamLimits = LIMITS,
                        leaseMs = LEASE_MS,
                    ),
            )
        lateinit var worker: SimWorker

        private fun at(
            ms: Long,
            action: () -> Unit,
        ) = simulation.time.after(ms - simulation.time.nowMs, action)

        /** Long tasks in both zones, as an array: a silent machine of an array isn't released early. */
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

        fun execute() {
            at(BASE_JOB_AT_MS) { submitSpread("base", BASE_GPUS) }
            simulation.run(SETUP_UNTIL_MS)
            worker = simulation.cloud.workers.first()
            // The worker's heartbeats arrive, but no response or command reaches it until its incarnation has ended.
            // Its heartbeats are lost from shortly before that until shortly before its next lease expires.
            val leaseExpiryMs = worker.leaseStartedAt + LEASE_MS + WORKER_TICK_MS
            worker.unresponsiveUntil = leaseExpiryMs
            at(leaseExpiryMs - HEARTBEATS_LOST_BEFORE_MS) {
                worker.heartbeatsLostUntil = leaseExpiryMs + LEASE_MS - HEARTBEATS_BACK_BEFORE_MS
            }
            // The worker refuses the first start command, and its answer shows the new incarnation. After the second
            // job is submitted, the start commands of both jobs are executed in the new incarnation.
            at(leaseExpiryMs + FIRST_JOB_AFTER_MS) { submitSpread("first", FIRST_GPUS) }
            at(leaseExpiryMs + SECOND_JOB_AFTER_MS) { submitSpread("second", SECOND_GPUS) }
            // The outage keeps the silent machine from being released, which would hide the tasks that run on it.
            at(leaseExpiryMs + CLOUD_OUTAGE_AFTER_MS) { simulation.cloud.down = true }
            at(leaseExpiryMs + CANCEL_AFTER_MS) { listOf("first", "second").forEach(simulation::cancel) }
            simulation.run(leaseExpiryMs + END_AFTER_MS)
        }

        private companion object {
            // AFTER and LOST_BEFORE count from the end of the incarnation's lease, BACK_BEFORE from one lease later.
            const val LEASE_MS = 12_000L
            val LIMITS = mapOf("red" to 100.0)
            const val TASKS = 4
            const val TASK_MS = 150_000L
            const val BASE_JOB_AT_MS = 4_000L
            const val BASE_GPUS = 5.0
            const val SETUP_UNTIL_MS = 15_000L
            const val WORKER_TICK_MS = 100L
            const val HEARTBEATS_LOST_BEFORE_MS = 1_100L
            const val HEARTBEATS_BACK_BEFORE_MS = 1_050L
            const val FIRST_JOB_AFTER_MS = 100L
            const val SECOND_JOB_AFTER_MS = 600L
            const val CLOUD_OUTAGE_AFTER_MS = 13_500L
            const val CANCEL_AFTER_MS = 15_000L
            const val END_AFTER_MS = 60_000L
            const val FIRST_GPUS = 1.0
            const val SECOND_GPUS = 1.0
        }
    }

    private fun violationsOf(rule: String): List<String> =
        SEEDS.flatMap { seed ->
            val scenario = Scenario(seed)
            scenario.execute()
            scenario.simulation.checker.ruleViolations
                .filter { rule in it }
                .take(1)
                .map { "seed $seed: $it" }
        }

    @Test
    fun `tasks started in an incarnation that has sent no heartbeat aren't started elsewhere`() =
        assertEquals(emptyList<String>(), violationsOf("ran_twice"))

    @Test
    fun `tasks started in an incarnation that has sent no heartbeat end when they are cancelled`() =
        assertEquals(emptyList<String>(), violationsOf("ran_cancelled"))

    private companion object {
        /** Not every seed produces the fault: heartbeats are 1 s apart, and it needs them at certain moments. */
        val SEEDS = 1L..40L
    }
}
