package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.scale.StandInCodec
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.ReportSize
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.sizeAsJson

/**
 * Short tasks follow one another on one machine for a long time, under one leader. What the leader retains of their
 * starts stays bounded, in the worker's heartbeats as well as in its own memory.
 */
internal class TaskChurnTest {
    private class Churn(
        private val tasksPerSecond: Int,
        durationS: Long,
    ) {
        private val durationMs = durationS * MS_PER_S
        val simulation =
            Simulation(
                seed = 1,
                parameters =
                    SimulationParameters(
                        nodes = 1,
                        initialMachines = 1,
                        capacity = 1,
                        teamLimits = mapOf("red" to 100.0),
                        checkIntervalMs = MS_PER_S,
                        hasProtocolPacing = true,
                    ),
            )
        val worker = simulation.cloud.workers.single()
        var maxHeartbeatBytes = 0
        var maxDirectStarts = 0
        var directCommands = 0

        fun execute() {
            simulation.onHeartbeatSent = ::onHeartbeat
            worker.onDirectCommandsExecuted = { directCommands++ }
            simulation.run(WARM_UP_MS)
            for (second in 0 until durationMs / MS_PER_S) {
                simulation.time.after(second * MS_PER_S) { submit("run-%06d".format(second)) }
            }
            simulation.run(WARM_UP_MS + durationMs + COOL_DOWN_MS)
        }

        private fun submit(id: String) {
            val spec: JobSpec =
                simulation.randomSpec(id).copy(
                    team = TeamName("red"),
                    kind = JobKind.ARRAY,
                    tasks = tasksPerSecond,
                    cores = 0.1,
                    gpus = 0.0,
                    memoryGb = 0.1,
                    types = listOf(TypeName("g8")),
                    zone = null,
                    oneZone = false,
                    spread = false,
                    runEstimateS = 0.5,
                )
            simulation.submit(spec, TASK_MS)
        }

        private fun onHeartbeat(heartbeat: WorkerHeartbeat) {
            maxHeartbeatBytes = maxOf(maxHeartbeatBytes, StandInCodec.encodeHeartbeat(heartbeat).sizeAsJson())
            maxDirectStarts = maxOf(maxDirectStarts, directStarts)
        }

        val directStarts: Int get() =
            simulation.nodes
                .single()
                .status
                ?.directStarts ?: 0
        val tokenAdvances: Long get() =
            simulation.nodes
                .single()
                .status
                ?.tokenAdvances ?: 0
    }

    /** What one heartbeat can hold: the leader gives a machine no more tasks, and remembers no more starts. */
    private val maxTasks = ReportSize.MAX_TASK_BYTES / ReportSize.taskBytes(JobId("run-000000"))

    private fun assertBounded(churn: Churn) {
        assertTrue(churn.maxHeartbeatBytes <= ReportSize.MAX_BODY_BYTES, "heartbeats of ${churn.maxHeartbeatBytes} B")
        assertTrue(churn.maxDirectStarts in 1..maxTasks, "${churn.maxDirectStarts} starts were retained")
        assertTrue(churn.worker.alive, "the machine was returned")
        assertEquals(0, churn.worker.tasks.size, "attempts that the worker still knows")
        assertEquals(0, churn.directStarts, "starts that the leader still retains")
        assertEquals(
            emptyList<String>(),
            churn.simulation.checker.ruleViolations
                .take(3),
        )
        assertEquals(
            emptyList<String>(),
            churn.simulation.checker
                .unfinished()
                .take(3),
        )
    }

    @Test
    fun `an hour of short tasks raises the worker's token at most once a lease`() {
        val churn = Churn(tasksPerSecond = 4, durationS = JOBS.toLong())
        churn.execute()
        assertBounded(churn)
        val leases = churn.simulation.time.nowMs / LEASE_MS
        assertTrue(churn.tokenAdvances in 1..leases, "${churn.tokenAdvances} rises in $leases leases")
        assertTrue(churn.directCommands in JOBS..2 * JOBS, "${churn.directCommands} direct commands for $JOBS jobs")
    }

    @Test
    fun `many short tasks raise the worker's token before its heartbeats are full`() {
        val churn = Churn(tasksPerSecond = 60, durationS = 300)
        churn.execute()
        assertBounded(churn)
        val leases = churn.simulation.time.nowMs / LEASE_MS
        assertTrue(churn.tokenAdvances > leases, "${churn.tokenAdvances} rises in $leases leases")
    }

    private companion object {
        const val MS_PER_S = 1_000L
        const val JOBS = 3_600
        const val LEASE_MS = 10_000L
        const val TASK_MS = 400L
        const val WARM_UP_MS = 10_000L

        /** Longer than a lease, so that all can be forgotten, and shorter than until the idle machine's release. */
        const val COOL_DOWN_MS = 14_000L
    }
}
