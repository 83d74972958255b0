package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.config.WriteLimits
import oxbowlug.soak.FaultSchedule
import oxbowlug.wire.JobKind

/**
 * What the controllers send on fixed days is the same, message by message and at the same simulated times. A digest
 * changes only with a change of behaviour, which its commit names; a move, rename, split or merge leaves all of them.
 */
internal class BehaviourTraceTest {
    private class Day(
        val name: String,
        val shape: Shape,
        val endMs: Long,
        val play: Simulation.(Long) -> Unit,
    )

    private val days =
        listOf(
            Day("crashes", Shape(), endMs = 120_000) { playCrashes() },
            Day("upgrade", Shape(nodes = 5, machinesUp = 8, nextLimits = NEXT), endMs = 150_000) { playUpgrade() },
            Day(
                "drawn",
                Shape(nodes = 5, machinesUp = 8, jobsAtStart = 12, nextLimits = NEXT),
                endMs = 130_000,
            ) { seed ->
                users(everyMs = 2_500, untilMs = 90_000)
                pipelines(everyMs = 8_000, untilMs = 90_000)
                SimulatedFaults(this, LEASE_MS).play(FaultSchedule.draw(seed, 5, 20_000, 90_000, LEASE_MS))
            },
            Day("wide", Shape(nodes = 3, machinesUp = 24, capacity = 48, jobsAtStart = 60), endMs = 90_000) {
                users(everyMs = 700, untilMs = 70_000)
                at(40_000) { end(leader, forMs = 4_000) }
                cancelServices(45_000, count = 12)
            },
        )

    @Test
    fun `fixed days send the same messages at the same times`() {
        val found = LinkedHashMap<String, String>()
        for (day in days) {
            for (seed in SEEDS) found["${day.name} $seed"] = digestOf(day, seed)
        }
        assertEquals(expected().entries.joinToString("\n"), found.entries.joinToString("\n"))
    }

    private fun digestOf(
        day: Day,
        seed: Long,
    ): String {
        val trace = PortTrace()
        val simulation = Simulation(seed, shape = day.shape)
        simulation.trace(trace)
        day.play(simulation, seed)
        simulation.run(day.endMs)
        return "${trace.messages} messages, ${trace.digest()}"
    }

    private fun expected(): Map<String, String> =
        javaClass
            .getResource("/behaviour/digests.txt")!!
            .readText()
            .lines()
            .filter { it.isNotBlank() && !it.startsWith("#") }
            .associate { it.substringBefore("=") to it.substringAfter("=") }

    private companion object {
        val NEXT = WriteLimits(writeRps = 30.0, valueKb = 0.58, txnOps = 4)
        val SEEDS = 1L..3L
        const val LEASE_MS = 10_000L

        fun Simulation.at(
            ms: Long,
            action: Simulation.() -> Unit,
        ) = time.after(ms) { action() }

        fun Simulation.end(
            node: SimNode,
            forMs: Long,
            isOld: Boolean = false,
        ) {
            if (!node.isUp) return
            node.crash()
            time.after(forMs) {
                node.isOld = isOld
                node.start()
            }
        }

        /** Users call off services that run just then. */
        fun Simulation.cancelServices(
            atMs: Long,
            count: Int,
        ) = at(atMs) {
            val running = cloud.workers.flatMap { worker -> worker.runningTasks().map { it.attempt.task.job.value } }
            val services = running.distinct().filter { spec(it)?.kind == JobKind.SERVICE }
            for (id in services.take(count)) time.after(time.between(0, 200)) { cancel(id) }
        }

        fun Simulation.playCrashes() {
            users(everyMs = 2_500, untilMs = 90_000)
            closeLooks = 0.2
            weather.lost = 0.03
            weather.late = 0.03
            at(25_000) { end(leader, forMs = 5_000) }
            cancelServices(27_000, count = 4)
            at(35_000) { randomWorker()?.hungUntil = 55_000 }
            at(40_000) { weather.cutZones.add(zones[1]) }
            at(58_000) { weather.cutZones.clear() }
            at(62_000) { weather.unansweredWrites = 0.3 }
            at(70_000) { weather.unansweredWrites = 0.0 }
            at(72_000) { store.down = true }
            cancelServices(74_000, count = 2)
            at(85_000) { store.down = false }
            at(88_000) { for (node in nodes) end(node, forMs = 3_000) }
        }

        fun Simulation.playUpgrade() {
            for (node in nodes) node.isOld = true
            users(everyMs = 4_000, untilMs = 110_000)
            pipelines(everyMs = 5_000, untilMs = 110_000)
            for ((turn, node) in nodes.withIndex()) at(20_000L + turn * 8_000L) { end(node, forMs = 3_000) }
            at(75_000) { store.limits = NEXT }
            at(80_000) { end(leader, forMs = 1_000) }
            at(95_000) { submit(stage("wide").copy(tasks = 24, cores = 16.0)) }
        }
    }
}
