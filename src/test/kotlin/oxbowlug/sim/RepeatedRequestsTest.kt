package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.port.CommitOutcome
import oxbowlug.record.DataFormat
import oxbowlug.record.Keys
import oxbowlug.standin.SimWorker
import oxbowlug.wire.AttemptId
import oxbowlug.wire.Change
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.Priority
import oxbowlug.wire.TeamName
import oxbowlug.wire.Transaction
import oxbowlug.wire.TypeName

/** Requests of the controllers that were executed and answered are repeated by the network. */
internal class RepeatedRequestsTest {
    /** Two full machines: an urgent task displaces one of an array, which continues on the other machine. */
    private class Displacement(
        seed: Long,
    ) {
        val simulation =
            Simulation(
                seed,
                parameters =
                    SimulationParameters(initialMachines = 2, capacity = 2, teamLimits = mapOf("red" to 100.0)),
            )

        /** Repeats the direct commands that each machine has executed so far. */
        val repeats = HashMap<SimWorker, ArrayList<() -> Unit>>()

        private fun submit(
            id: String,
            edit: JobSpec.() -> JobSpec,
        ) {
            val spec =
                simulation.randomSpec(id).copy(
                    team = TeamName("red"),
                    gpus = 1.0,
                    cores = 4.0,
                    types = listOf(TypeName("g8")),
                    zone = null,
                    oneZone = false,
                    spread = false,
                    checkpointS = 0.0,
                )
            simulation.submit(spec.edit(), TASK_MS)
        }

        private fun submitArray(id: String) =
            submit(id) {
                copy(kind = JobKind.ARRAY, priority = Priority.NORMAL, tasks = TASKS_PER_MACHINE, runEstimateS = 400.0)
            }

        fun runningAttempts(): List<Pair<SimWorker, AttemptId>> =
            simulation.cloud.workers.flatMap { worker -> worker.runningTasks().map { worker to it.attempt } }

        /** Runs the simulation until [condition] holds, which is checked every 100 ms. */
        fun runUntil(
            description: String,
            condition: () -> Boolean,
        ) {
            val deadline = simulation.time.nowMs + STEP_TIMEOUT_MS
            while (!condition()) {
                assertTrue(simulation.time.nowMs < deadline, "not within ${STEP_TIMEOUT_MS} ms: $description")
                val before = simulation.time.nowMs
                simulation.run(before + POLL_MS)
            }
        }

        fun execute() {
            for (worker in simulation.cloud.workers) {
                worker.onDirectCommandsExecuted = { repeats.getOrPut(worker, ::ArrayList).add(it) }
            }
            simulation.run(6_000)
            submitArray("first")
            simulation.run(12_000)
            submitArray("second")
            runUntil("both machines are full") { runningAttempts().size == 2 * TASKS_PER_MACHINE }
            val before = runningAttempts()
            submit("urgent") { copy(kind = JobKind.SERVICE, priority = Priority.HIGH, tasks = 1) }
            runUntil("the urgent task runs") { runningAttempts().any { it.second.task.job.value == "urgent" } }
            val (machine, displaced) = (before - runningAttempts().toSet()).single()
            val other = if (displaced.task.job.value == "first") "second" else "first"
            simulation.cancel(other)
            runUntil("the displaced task runs on the other machine") {
                runningAttempts().any { it.second.task == displaced.task && it.first !== machine }
            }
            runUntil("its first machine has forgotten it") { displaced !in machine.tasks }
            simulation.cancel("urgent")
            runUntil("the urgent task has ended") { runningAttempts().none { it.second.task.job.value == "urgent" } }
        }

        /** Repeats all direct commands of each machine in their order, [POLL_MS] apart. */
        fun repeatAll() {
            for (commands in repeats.values) {
                for ((index, repeat) in commands.withIndex()) simulation.time.after(index * POLL_MS, repeat)
            }
        }

        private companion object {
            const val TASKS_PER_MACHINE = 8
            const val TASK_MS = 400_000L
            const val STEP_TIMEOUT_MS = 40_000L
            const val POLL_MS = 100L
        }
    }

    @Test
    fun `a start that was executed and is repeated after its leader ended runs no task on two machines`() {
        // Guards against review/4: the worker was told to forget the attempt, and executed the start once more.
        for (seed in SEEDS) {
            val displacement = Displacement(seed)
            displacement.execute()
            val simulation = displacement.simulation
            simulation.leader.crash()
            simulation.run(simulation.time.nowMs + 700)
            displacement.repeatAll()
            simulation.run(simulation.time.nowMs + 10_000)
            assertEquals(emptyList<String>(), simulation.checker.ruleViolations.take(3), "seed $seed")
        }
    }

    @Test
    fun `a start that was executed and is repeated under the same leader has no effect`() {
        for (seed in SEEDS) {
            val displacement = Displacement(seed)
            displacement.execute()
            val simulation = displacement.simulation
            val starts = simulation.checker.starts
            displacement.repeatAll()
            simulation.run(simulation.time.nowMs + 3_000)
            assertEquals(starts, simulation.checker.starts, "seed $seed: a repeat started a task again")
            assertEquals(emptyList<String>(), simulation.checker.ruleViolations.take(3), "seed $seed")
        }
    }

    /** What may happen to the controllers after workers got a higher token than their leader began with. */
    private enum class Trouble {
        STATE_OUTAGE,
        ALL_RESTART,
        OTHER_ZONE_CUT,
    }

    private fun Simulation.begin(trouble: Trouble) {
        when (trouble) {
            Trouble.STATE_OUTAGE -> store.down = true
            Trouble.ALL_RESTART ->
                nodes.forEach { restart(it, forMs = 2_000) }
            Trouble.OTHER_ZONE_CUT -> activeFaults.isolatedZones.add(zones.first { it != leader.zone })
        }
    }

    @Test
    fun `leases are renewed under a raised token in an outage, after a restart of all, and by a delegate`() {
        for (trouble in Trouble.entries) {
            for (seed in SEEDS) {
                val displacement = Displacement(seed)
                displacement.execute()
                val simulation = displacement.simulation
                val raised = simulation.nodes.sumOf { it.status?.tokenAdvances ?: 0 }
                assertTrue(raised > 0, "$trouble, seed $seed: no token was raised")
                simulation.begin(trouble)
                simulation.run(simulation.time.nowMs + TROUBLE_MS)
                val workers = simulation.cloud.workers
                assertEquals(2, workers.size, "$trouble, seed $seed: a machine was returned")
                assertEquals(0, workers.sumOf { it.endedByLease }, "$trouble, seed $seed: tasks ended with a lease")
                assertEquals(emptyList<String>(), simulation.checker.ruleViolations.take(3), "$trouble, seed $seed")
            }
        }
    }

    /** Random jobs while leaders crash, some of which are restarted within a fraction of a second. */
    private fun simulationWithCrashes(seed: Long): Simulation {
        val simulation = Simulation(seed, parameters = SimulationParameters(nodes = 5, initialMachines = 8))
        simulation.submitRandomJobs(everyMs = 1_500, untilMs = SUBMIT_UNTIL_MS)
        simulation.submitPipelines(everyMs = 8_000, untilMs = SUBMIT_UNTIL_MS)
        for (crashAtMs in FIRST_CRASH_MS..SUBMIT_UNTIL_MS step CRASH_INTERVAL_MS) {
            simulation.crashLeader(crashAtMs, forMs = simulation.time.between(RESTART_AFTER_MS))
        }
        return simulation
    }

    @Test
    fun `no rule is broken when each executed request is repeated while leaders crash and restart`() {
        for (seed in SEEDS) {
            val simulation = simulationWithCrashes(seed)
            simulation.repeats.probability = 1.0
            simulation.run(END_MS)
            assertTrue(simulation.repeats.executed > MIN_REPEATS, "${simulation.repeats.executed} repeats")
            assertEquals(emptyList<String>(), simulation.checker.ruleViolations.take(3), "seed $seed")
            assertEquals(emptyList<String>(), simulation.checker.unfinished(), "seed $seed: not served")
        }
    }

    @Test
    fun `no transaction of a controller that has ended changes anything when it is repeated`() {
        for (seed in SEEDS) {
            val simulation = simulationWithCrashes(seed)
            val sent = ArrayList<Transaction>()
            for (node in simulation.nodes) node.onTransaction = { if (it.changes.isNotEmpty()) sent.add(it) }
            simulation.run(SUBMIT_UNTIL_MS)
            simulation.nodes.forEach { it.crash() }
            simulation.run(SUBMIT_UNTIL_MS + STATE_LEASES_ENDED_MS)
            val keys = sent.flatMap { it.changes }.map { it.key }.toSet()
            val valuesBefore = keys.associateWith { simulation.store.entry(it)?.value }
            val applied = sent.filter { simulation.store.commit(it) is CommitOutcome.Applied }
            assertTrue(sent.size > MIN_TRANSACTIONS, "${sent.size} transactions")
            assertEquals(emptyList<Transaction>(), applied.filter { it.conditions.isNotEmpty() }, "seed $seed")
            assertEquals(valuesBefore, keys.associateWith { simulation.store.entry(it)?.value }, "seed $seed")
        }
    }

    @Test
    fun `a transaction without a condition only registers a controller or notes the format that it reads`() {
        val simulation = simulationWithCrashes(seed = 1)
        val unconditional = ArrayList<Change>()
        for (node in simulation.nodes) {
            node.onTransaction = { if (it.conditions.isEmpty()) unconditional.addAll(it.changes) }
        }
        simulation.run(SUBMIT_UNTIL_MS)
        assertTrue(unconditional.isNotEmpty(), "no controller has registered")
        // The registration ends with its lease. The note is the same whenever a controller of this version writes it.
        val notes = simulation.nodes.map { Change.Put(Keys.format(it.label), DataFormat.encode(DataFormat.NEWEST)) }
        val others = unconditional.filterNot { it is Change.Put && it.lease != null || it in notes }
        assertEquals(emptyList<Change>(), others)
    }

    private companion object {
        val SEEDS = 1L..3L

        /** Three leases of a worker. */
        const val TROUBLE_MS = 30_000L
        const val FIRST_CRASH_MS = 20_000L
        const val CRASH_INTERVAL_MS = 12_000L
        val RESTART_AFTER_MS = 200L..6_000L
        const val SUBMIT_UNTIL_MS = 80_000L
        const val END_MS = 320_000L
        const val MIN_REPEATS = 1_000
        const val MIN_TRANSACTIONS = 100

        /** Longer than a controller's lease in the state service. */
        const val STATE_LEASES_ENDED_MS = 10_000L
    }
}
