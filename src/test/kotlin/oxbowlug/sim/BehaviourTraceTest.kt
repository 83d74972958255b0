package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.config.WriteLimits
import oxbowlug.soak.FaultSchedule
import oxbowlug.wire.JobKind

/**
 * Guards against unintended changes of behaviour: in fixed scenarios the controllers send the same messages at the same
 * simulated times as recorded in `behaviour/digests.txt`. Refactoring leaves every digest as it is; a commit that
 * changes a digest names the change of behaviour.
 */
internal class BehaviourTraceTest {
    private class Scenario(
        val name: String,
        val parameters: SimulationParameters,
        val endMs: Long,
        val setUp: Simulation.(Long) -> Unit,
    )

    private val scenarios =
        listOf(
            Scenario("crashes", SimulationParameters(), endMs = 120_000) { setUpCrashes() },
            Scenario(
                "upgrade",
                SimulationParameters(nodes = 5, initialMachines = 8, nextLimits = NEXT_LIMITS),
                endMs = 150_000,
            ) { setUpUpgrade() },
            Scenario(
                "drawn",
                SimulationParameters(nodes = 5, initialMachines = 8, initialJobs = 12, nextLimits = NEXT_LIMITS),
                endMs = 130_000,
            ) { seed ->
                submitRandomJobs(everyMs = 2_500, untilMs = 90_000)
                submitPipelines(everyMs = 8_000, untilMs = 90_000)
                SimulatedFaults(this, LEASE_MS).inject(FaultSchedule.draw(seed, 5, 20_000, 90_000, LEASE_MS))
            },
            Scenario(
                "wide",
                SimulationParameters(nodes = 3, initialMachines = 24, capacity = 48, initialJobs = 60),
                endMs = 90_000,
            ) {
                submitRandomJobs(everyMs = 700, untilMs = 70_000)
                at(40_000) { restart(leader, forMs = 4_000) }
                cancelServices(45_000, count = 12)
            },
        )

    @Test
    fun `fixed scenarios send the same messages at the same times`() {
        val actual = LinkedHashMap<String, String>()
        for (scenario in scenarios) {
            for (seed in SEEDS) actual["${scenario.name} $seed"] = digestOf(scenario, seed)
        }
        assertEquals(expectedDigests().entries.joinToString("\n"), actual.entries.joinToString("\n"))
    }

    private fun digestOf(
        scenario: Scenario,
        seed: Long,
    ): String {
        val trace = PortTrace()
        val simulation = Simulation(seed, parameters = scenario.parameters)
        simulation.trace(trace)
        scenario.setUp(simulation, seed)
        simulation.run(scenario.endMs)
        return "${trace.messages} messages, ${trace.digest()}"
    }

    private fun expectedDigests(): Map<String, String> =
        javaClass
            .getResource("/behaviour/digests.txt")!!
            .readText()
            .lines()
            .filter { it.isNotBlank() && !it.startsWith("#") }
            .associate { it.substringBefore("=") to it.substringAfter("=") }

    private companion object {
        val NEXT_LIMITS = WriteLimits(writeRps = 30.0, valueKb = 0.58, txnOps = 4)
        val SEEDS = 1L..3L
        const val LEASE_MS = 10_000L

        /** Within 200 ms users cancel up to [count] services that are running at [atMs]. */
        fun Simulation.cancelServices(
            atMs: Long,
            count: Int,
        ) = at(atMs) {
            val running = cloud.workers.flatMap { worker -> worker.runningTasks().map { it.attempt.task.job.value } }
            val services = running.distinct().filter { spec(it)?.kind == JobKind.SERVICE }
            for (id in services.take(count)) time.after(time.between(0, 200)) { cancel(id) }
        }

        fun Simulation.setUpCrashes() {
            submitRandomJobs(everyMs = 2_500, untilMs = 90_000)
            followUpProbability = 0.2
            activeFaults.lossProbability = 0.03
            activeFaults.delayProbability = 0.03
            at(25_000) { restart(leader, forMs = 5_000) }
            cancelServices(27_000, count = 4)
            at(35_000) { randomWorker()?.hungUntil = 55_000 }
            at(40_000) { activeFaults.isolatedZones.add(zones[1]) }
            at(58_000) { activeFaults.isolatedZones.clear() }
            at(62_000) { activeFaults.unansweredWrites = 0.3 }
            at(70_000) { activeFaults.unansweredWrites = 0.0 }
            at(72_000) { store.down = true }
            cancelServices(74_000, count = 2)
            at(85_000) { store.down = false }
            at(88_000) { for (node in nodes) restart(node, forMs = 3_000) }
        }

        fun Simulation.setUpUpgrade() {
            for (node in nodes) node.isOldVersion = true
            submitRandomJobs(everyMs = 4_000, untilMs = 110_000)
            submitPipelines(everyMs = 5_000, untilMs = 110_000)
            for ((turn, node) in nodes.withIndex()) at(20_000L + turn * 8_000L) { restart(node, forMs = 3_000) }
            at(75_000) { store.limits = NEXT_LIMITS }
            at(80_000) { restart(leader, forMs = 1_000) }
            at(95_000) { submit(stage("wide").copy(tasks = 24, cores = 16.0)) }
        }
    }
}
