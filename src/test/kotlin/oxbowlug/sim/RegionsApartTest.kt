package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import oxbowlug.config.Policy
import oxbowlug.region.Regions
import oxbowlug.wire.ClassName
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.Priority
import oxbowlug.wire.Zone

/** Two regions of two zones; in one zone of the second there is no controller. */
internal class RegionsApartTest {
    class Trouble(
        val name: String,
        val cause: (Simulation) -> Unit,
    ) {
        override fun toString() = name
    }

    private fun play(
        seed: Long,
        policy: Policy,
        cause: (Simulation) -> Unit,
    ): Simulation {
        val parameters =
            SimulationParameters(
                zones = listOf("a", "b", "c", "d"),
                initialMachines = 8,
                capacity = 16,
                serviceDurationMs = 60_000L..100_000L,
            )
        val day = Simulation(seed, policy, parameters)
        day.submitRandomJobs(everyMs = 2500, untilMs = 90_000)
        cause(day)
        day.run(260_000)
        return day
    }

    /** Tasks that ended with their leases there, seen just before the regions reach each other again. */
    private fun endedInLonelyZone(
        seed: Long,
        policy: Policy,
    ): Int {
        var ended = 0
        play(seed, policy) { day ->
            for (number in 0..2) day.time.after(5_000) { day.submit(day.lonelyService("lonely-$number")) }
            day.separate(30_000, 40_000)
            day.time.after(69_500) {
                ended =
                    day.cloud.workers
                        .filter { it.zone == day.zones[LONELY] }
                        .sumOf { it.endedByLease }
            }
        }
        return ended
    }

    @ParameterizedTest
    @MethodSource("troubles")
    fun `no trouble while regions are apart breaks a rule, and afterwards everything runs`(trouble: Trouble) {
        for (seed in Seeds.all) {
            val day = play(seed, regional, trouble.cause)
            assertEquals(emptyList<String>(), day.checker.ruleViolations.take(5), "$trouble, seed $seed")
            assertTrue(day.checker.starts > 20, "$trouble, seed $seed: only ${day.checker.starts} starts")
            assertEquals(emptyList<String>(), day.checker.unfinished(), "$trouble, seed $seed: not served")
        }
    }

    /** Found on the scale run: with fifteen zones and six controllers most of a region's work ended with its leases. */
    @Test
    fun `a region that is apart keeps the work of its zones without a controller`() {
        val without = Seeds.all.sumOf { endedInLonelyZone(it, Policy()) }
        val with = Seeds.all.sumOf { endedInLonelyZone(it, regional) }
        assertTrue(without > 0, "there was work to lose")
        assertEquals(0, with, "tasks that ended with their leases")
    }

    private companion object {
        const val LONELY = 3
        val regional =
            Policy(
                regions =
                    Regions(
                        mapOf("north" to listOf(Zone("a"), Zone("b")), "south" to listOf(Zone("c"), Zone("d"))),
                    ),
            )

        fun Simulation.separate(
            fromMs: Long,
            forMs: Long,
        ) {
            val south = zones.drop(2)
            time.after(fromMs) { activeFaults.isolatedRegion.addAll(south) }
            time.after(fromMs + forMs) { activeFaults.isolatedRegion.removeAll(south.toSet()) }
        }

        private fun Simulation.crash(
            atMs: Long,
            which: () -> SimNode,
        ) {
            time.after(atMs) {
                val node = which()
                node.crash()
                time.after(5_000) { if (!node.isUp) node.start() }
            }
        }

        /** Replicas that may run in the zone without a controller only. */
        private fun Simulation.lonelyService(id: String): JobSpec =
            randomSpec(id).copy(
                className = ClassName("serving"),
                kind = JobKind.SERVICE,
                priority = Priority.PRODUCTION,
                tasks = 2,
                gpus = 1.0,
                types = null,
                zone = zones[LONELY],
                oneZone = false,
                spread = false,
                spot = false,
                runEstimateS = 0.0,
                checkpointS = 0.0,
                saveS = 0.0,
                deadlineS = null,
            )

        private fun Simulation.south(): SimNode = nodes.first { it.zone == zones[2] }

        private fun Simulation.cancelSome(atMs: Long) =
            time.after(atMs) {
                for ((id, job) in checker.jobs.entries.take(12)) if (job.accepted) cancel(id)
            }

        @JvmStatic
        fun troubles() =
            listOf(
                Trouble("apart") { it.separate(30_000, 40_000) },
                Trouble("apart and the leader ends") {
                    it.separate(30_000, 40_000)
                    it.crash(40_000) { it.leader }
                },
                Trouble("apart and the delegate ends") {
                    it.separate(30_000, 40_000)
                    it.crash(42_000) { it.south() }
                },
                Trouble("the delegate ends just before, and is named anew") {
                    it.crash(28_000) { it.south() }
                    it.separate(34_500, 30_000)
                },
                Trouble("apart and cancellations fall into it") {
                    it.separate(30_000, 40_000)
                    it.cancelSome(31_000)
                    it.cancelSome(50_000)
                },
                Trouble("the link flaps") { day ->
                    for (round in 0..7) day.separate(25_000 + round * 7_000L, 4_000)
                },
                Trouble("apart with the delegate's own zone cut off as well") { day ->
                    day.separate(30_000, 40_000)
                    day.time.after(35_000) { day.activeFaults.isolatedZones.add(day.zones[2]) }
                    day.time.after(60_000) { day.activeFaults.isolatedZones.clear() }
                },
                Trouble("only the delegate's zone is cut off, and machines of the other one die") { day ->
                    day.time.after(30_000) { day.activeFaults.isolatedZones.add(day.zones[2]) }
                    day.time.after(34_000) {
                        day.cloud.workers
                            .filter { it.zone == day.zones[LONELY] }
                            .forEach { day.cloud.fail(it.id) }
                    }
                    day.time.after(65_000) { day.activeFaults.isolatedZones.clear() }
                },
                Trouble("apart, with held frames, late reports and late writes") { day ->
                    day.activeFaults.peerLinkStalls = 0.002
                    day.activeFaults.duplicateHeartbeats = 0.02
                    day.activeFaults.delayedWrites = 0.02
                    day.separate(30_000, 30_000)
                    day.cancelSome(45_000)
                    day.time.after(100_000) {
                        day.activeFaults.peerLinkStalls = 0.0
                        day.activeFaults.duplicateHeartbeats = 0.0
                        day.activeFaults.delayedWrites = 0.0
                    }
                },
                Trouble("apart while all controllers end") { day ->
                    day.separate(30_000, 40_000)
                    day.time.after(38_000) { for (node in day.nodes) node.crash() }
                    day.time.after(42_000) { for (node in day.nodes) if (!node.isUp) node.start() }
                },
            )
    }
}
