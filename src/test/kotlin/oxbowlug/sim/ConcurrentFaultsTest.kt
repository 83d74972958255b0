package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.standin.SimWorker
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobKind

/** Two troubles at once, each brought about on purpose; docs/safety.md has the table. */
internal class ConcurrentFaultsTest {
    private fun Simulation.running(): Set<AttemptId> =
        cloud.workers
            .flatMap { it.runningTasks() }
            .filter { spec(it.attempt.task.job.value)?.kind == JobKind.SERVICE }
            .map { it.attempt }
            .toSet()

    private fun Simulation.hosts(job: String) =
        cloud.workers.filter { worker -> worker.runningTasks().any { it.attempt.task.job.value == job } }

    private fun steady(seed: Long) =
        Simulation(seed, parameters = SimulationParameters(nodes = 5, initialMachines = 12, initialJobs = 40, serviceDurationMs = 150_000L..160_000L))

    private fun Simulation.assertKept(what: String) {
        assertEquals(emptyList<String>(), checker.ruleViolations.take(5), what)
        assertEquals(emptyList<String>(), checker.unfinished(), "$what: not served")
    }

    @Test
    fun `a leader cut from state service and peers lets its workers go, and cancellations end by command`() {
        for (seed in Seeds.all) {
            val day = steady(seed)
            day.run(40_000)
            val former = day.leader
            former.withoutState = true
            former.withoutPeers = true
            val before = day.running()
            day.run(46_000)
            assertTrue(day.leader !== former, "seed $seed: nobody was elected")
            val cancelled = before.map { it.task.job.value }.distinct().take(4)
            for (id in cancelled) day.cancelThrough(day.leader, id)
            val returned = day.cloud.busyMachinesReturned
            day.run(58_000)
            assertEquals(emptyList<SimWorker>(), cancelled.flatMap { day.hosts(it) }, "seed $seed: still there")
            assertEquals(0, day.cloud.workers.sumOf { it.endedByLease }, "seed $seed: ended with a lease")
            day.run(70_000)
            assertEquals(returned, day.cloud.busyMachinesReturned, "seed $seed: machines were returned for it")
            former.withoutState = false
            former.withoutPeers = false
            day.run(300_000)
            day.assertKept("seed $seed")
        }
    }
}
