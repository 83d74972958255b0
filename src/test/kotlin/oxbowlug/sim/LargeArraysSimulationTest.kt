package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import oxbowlug.config.Objective
import oxbowlug.record.Keys
import oxbowlug.scale.StandInCodec
import oxbowlug.wire.ClassName
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.Priority
import oxbowlug.wire.ReportSize
import oxbowlug.wire.TeamName
import oxbowlug.wire.sizeAsJson

/**
 * Users submit arrays of the largest size while a service runs. Guards against the review's second case: leaders ran
 * out of memory one after the other, and asked for thousands of machines.
 */
internal class LargeArraysSimulationTest {
    @ParameterizedTest
    @ValueSource(strings = ["nightly", "without-objective"])
    fun `the largest arrays neither stop a service nor rent more than their team may use`(className: String) {
        val objective = Objective.Wait(ClassName("nightly"), withinS = 40.0, share = 0.975)
        val simulation =
            Simulation(
                3,
                parameters =
                    SimulationParameters(
                        objectives = listOf(objective),
                        serviceDurationMs =
                            100_000L..100_001L,
                    ),
            )
        val service = service(simulation)
        simulation.time.after(3_000) { simulation.submit(service) }
        simulation.time.after(10_000) {
            repeat(3) { simulation.submit(array(simulation, "run-00001$it", className), taskMs = 3_000) }
        }
        val secondsWithReplicasDown = ArrayList<Long>()
        simulation.time.every(1_000) {
            val running =
                simulation.cloud.workers
                    .flatMap { it.runningTasks() }
                    .count { it.attempt.task.job == service.id }
            val now = simulation.time.nowMs
            if (now > 10_000 && running < service.tasks) secondsWithReplicasDown.add(now)
        }
        simulation.run(10_000)
        val leader = simulation.store.entry(Keys.LEADERSHIP)?.value
        simulation.run(70_000)
        assertEquals(emptyList<String>(), simulation.checker.ruleViolations.take(5))
        assertEquals(emptyList<Long>(), secondsWithReplicasDown)
        assertEquals(leader, simulation.store.entry(Keys.LEADERSHIP)?.value, "the leader")
        val requested = simulation.cloud.machinesRequested
        assertTrue(requested <= MACHINES_WITHIN_LIMITS, "$requested machines were asked for")
        val done =
            simulation.checker.jobs.values
                .sumOf { it.done.size }
        assertTrue(done > 20, "only $done tasks were done")
    }

    @Test
    fun `a machine gets no more tasks than its worker can report`() {
        // Found by the review: tasks of 0.02 cores filled a machine until its heartbeats were too large for any
        // controller, and all its tasks ended with its lease.
        val simulation = Simulation(3, parameters = SimulationParameters(initialMachines = 1, capacity = 1))
        var longest = 0
        var mostTasks = 0
        simulation.time.after(3_000) {
            repeat(6) { index ->
                val tiny = array(simulation, "run-00002$index", "tiny").copy(cores = 0.01, gpus = 0.0, memoryGb = 0.01)
                simulation.submit(tiny, taskMs = 1_500)
            }
        }
        simulation.time.every(250) {
            for (worker in simulation.cloud.workers) {
                val heartbeat = worker.recentHeartbeats.lastOrNull() ?: continue
                longest = maxOf(longest, StandInCodec.encodeHeartbeat(heartbeat).sizeAsJson())
                mostTasks = maxOf(mostTasks, heartbeat.tasks.size)
            }
        }
        simulation.run(60_000)
        assertEquals(emptyList<String>(), simulation.checker.ruleViolations.take(5))
        assertTrue(longest <= ReportSize.MAX_BODY_BYTES, "a heartbeat of $longest bytes with $mostTasks tasks")
        assertTrue(mostTasks > 400, "only $mostTasks tasks on a machine that can report some hundreds")
    }

    /** Longer than the test runs: users cancel it later. */
    private fun service(simulation: Simulation): JobSpec =
        simulation.randomSpec("run-000001").copy(
            kind = JobKind.SERVICE,
            team = TeamName("blue"),
            priority = Priority.PRODUCTION,
            tasks = 4,
            gpus = 1.0,
            types = null,
            zone = null,
            oneZone = false,
            spread = false,
            spot = false,
        )

    /** Each task takes most of a machine. */
    private fun array(
        simulation: Simulation,
        id: String,
        className: String,
    ): JobSpec =
        simulation.randomSpec(id).copy(
            className = ClassName(className),
            kind = JobKind.ARRAY,
            team = TeamName("red"),
            priority = Priority.LOW,
            tasks = 100_000,
            cores = 60.0,
            gpus = 8.0,
            memoryGb = 200.0,
            types = null,
            zone = null,
            oneZone = false,
            spread = false,
            spot = false,
            deadlineS = null,
        )

    private companion object {
        /** The teams' limits of 24 and 16 GPUs on machines of 8 GPUs. */
        const val MACHINES_WITHIN_LIMITS = 5
    }
}
