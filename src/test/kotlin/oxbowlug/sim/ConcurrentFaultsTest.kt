package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.standin.SimWorker
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobKind

/** Two concurrent faults, set up deterministically; docs/safety.md has the table. */
internal class ConcurrentFaultsTest {
    private fun Simulation.runningServices(): Set<AttemptId> =
        cloud.workers
            .flatMap { it.runningTasks() }
            .filter { spec(it.attempt.task.job.value)?.kind == JobKind.SERVICE }
            .map { it.attempt }
            .toSet()

    private fun Simulation.machinesOf(job: String) =
        cloud.workers.filter { worker -> worker.runningTasks().any { it.attempt.task.job.value == job } }

    private fun simulationWithRunningServices(seed: Long) =
        Simulation(
            seed,
            parameters =
                SimulationParameters(
                    nodes = 5,
                    initialMachines = 12,
                    initialJobs = 40,
                    serviceDurationMs =
                        150_000L..160_000L,
                ),
        )

    private fun Simulation.assertRulesHoldAndJobsServed(context: String) {
        assertEquals(emptyList<String>(), checker.ruleViolations.take(5), context)
        assertEquals(emptyList<String>(), checker.unfinished(), "$context: not served")
    }

    @Test
    fun `a leader cut off from state and peers loses its workers, and commands stop cancelled tasks`() {
        for (seed in Seeds.all) {
            val simulation = simulationWithRunningServices(seed)
            simulation.run(40_000)
            val formerLeader = simulation.leader
            formerLeader.withoutState = true
            formerLeader.withoutPeers = true
            val runningBefore = simulation.runningServices()
            simulation.run(46_000)
            assertTrue(simulation.leader !== formerLeader, "seed $seed: no other controller was elected")
            val cancelledJobs = runningBefore.map { it.task.job.value }.distinct().take(4)
            for (id in cancelledJobs) simulation.cancelThrough(simulation.leader, id)
            val returnedBefore = simulation.cloud.busyMachinesReturned
            simulation.run(58_000)
            assertEquals(
                emptyList<SimWorker>(),
                cancelledJobs.flatMap { simulation.machinesOf(it) },
                "seed $seed: tasks of cancelled jobs still run",
            )
            assertEquals(
                0,
                simulation.cloud.workers.sumOf { it.endedByLease },
                "seed $seed: tasks ended with a worker's lease",
            )
            simulation.run(70_000)
            assertEquals(
                returnedBefore,
                simulation.cloud.busyMachinesReturned,
                "seed $seed: busy machines were returned",
            )
            formerLeader.withoutState = false
            formerLeader.withoutPeers = false
            simulation.run(300_000)
            simulation.assertRulesHoldAndJobsServed("seed $seed")
        }
    }
}
