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

/** Network partitions between two regions of two zones; one zone of the second region has no controller. */
internal class RegionsApartTest {
    class Scenario(
        val name: String,
        val setUp: (Simulation) -> Unit,
    ) {
        override fun toString() = name
    }

    private fun runSimulation(
        seed: Long,
        policy: Policy,
        setUp: (Simulation) -> Unit,
    ): Simulation {
        val parameters =
            SimulationParameters(
                zones = listOf("a", "b", "c", "d"),
                initialMachines = 8,
                capacity = 16,
                serviceDurationMs = 60_000L..100_000L,
            )
        val simulation = Simulation(seed, policy, parameters)
        simulation.submitRandomJobs(everyMs = 2500, untilMs = 90_000)
        setUp(simulation)
        simulation.run(260_000)
        return simulation
    }

    /**
     * Number of tasks in the zone without a controller that ended with their worker's lease, counted 500 ms before the
     * partition ends.
     */
    private fun endedInZoneWithoutController(
        seed: Long,
        policy: Policy,
    ): Int {
        var endedTasks = 0
        runSimulation(seed, policy) { simulation ->
            for (number in 0..2) {
                simulation.time.after(5_000) {
                    simulation.submit(simulation.serviceInZoneWithoutController("lonely-$number"))
                }
            }
            simulation.partitionRegions(30_000, 40_000)
            simulation.time.after(69_500) {
                endedTasks =
                    simulation.cloud.workers
                        .filter { it.zone == simulation.zones[ZONE_WITHOUT_CONTROLLER] }
                        .sumOf { it.endedByLease }
            }
        }
        return endedTasks
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    fun `no fault during a region partition breaks a rule, and all jobs are served afterwards`(scenario: Scenario) {
        for (seed in Seeds.all) {
            val simulation = runSimulation(seed, regionalPolicy, scenario.setUp)
            assertEquals(emptyList<String>(), simulation.checker.ruleViolations.take(5), "$scenario, seed $seed")
            assertTrue(
                simulation.checker.starts > 20,
                "$scenario, seed $seed: only ${simulation.checker.starts} starts",
            )
            assertEquals(emptyList<String>(), simulation.checker.unfinished(), "$scenario, seed $seed: not served")
        }
    }

    /**
     * Guards against a fault found in the scale run: with fifteen zones and six controllers most tasks of a partitioned
     * region ended when the leases of their workers expired.
     */
    @Test
    fun `a partitioned region keeps the tasks of its zones without a controller`() {
        val endedWithoutRegions = Seeds.all.sumOf { endedInZoneWithoutController(it, Policy()) }
        val endedWithRegions = Seeds.all.sumOf { endedInZoneWithoutController(it, regionalPolicy) }
        assertTrue(endedWithoutRegions > 0, "tasks end with their leases if no regions are configured")
        assertEquals(0, endedWithRegions, "tasks that ended with their worker's lease")
    }

    private companion object {
        /** Index of the second region's zone "d": the three controllers are in the zones "a" to "c". */
        const val ZONE_WITHOUT_CONTROLLER = 3
        val regionalPolicy =
            Policy(
                regions =
                    Regions(
                        mapOf("north" to listOf(Zone("a"), Zone("b")), "south" to listOf(Zone("c"), Zone("d"))),
                    ),
            )

        fun Simulation.partitionRegions(
            fromMs: Long,
            forMs: Long,
        ) {
            val southernZones = zones.drop(2)
            time.after(fromMs) { activeFaults.isolatedRegion.addAll(southernZones) }
            time.after(fromMs + forMs) { activeFaults.isolatedRegion.removeAll(southernZones.toSet()) }
        }

        private fun Simulation.crash(
            atMs: Long,
            selectNode: () -> SimNode,
        ) {
            time.after(atMs) {
                val node = selectNode()
                node.crash()
                time.after(5_000) { if (!node.isUp) node.start() }
            }
        }

        /** A service whose replicas may run only in the zone without a controller. */
        private fun Simulation.serviceInZoneWithoutController(id: String): JobSpec =
            randomSpec(id).copy(
                className = ClassName("serving"),
                kind = JobKind.SERVICE,
                priority = Priority.PRODUCTION,
                tasks = 2,
                gpus = 1.0,
                types = null,
                zone = zones[ZONE_WITHOUT_CONTROLLER],
                oneZone = false,
                spread = false,
                spot = false,
                runEstimateS = 0.0,
                checkpointS = 0.0,
                saveS = 0.0,
                deadlineS = null,
            )

        /** The only controller of the second region, hence its delegate. */
        private fun Simulation.southernController(): SimNode = nodes.first { it.zone == zones[2] }

        private fun Simulation.cancelAcceptedJobs(atMs: Long) =
            time.after(atMs) {
                for ((id, job) in checker.jobs.entries.take(12)) if (job.accepted) cancel(id)
            }

        @JvmStatic
        fun scenarios() =
            listOf(
                Scenario("region partition") { it.partitionRegions(30_000, 40_000) },
                Scenario("the leader crashes during a region partition") {
                    it.partitionRegions(30_000, 40_000)
                    it.crash(40_000) { it.leader }
                },
                Scenario("the delegate crashes during a region partition") {
                    it.partitionRegions(30_000, 40_000)
                    it.crash(42_000) { it.southernController() }
                },
                Scenario("the delegate crashes just before a region partition and is appointed again") {
                    it.crash(28_000) { it.southernController() }
                    it.partitionRegions(34_500, 30_000)
                },
                Scenario("jobs are cancelled during a region partition") {
                    it.partitionRegions(30_000, 40_000)
                    it.cancelAcceptedJobs(31_000)
                    it.cancelAcceptedJobs(50_000)
                },
                Scenario("the link between the regions flaps") { simulation ->
                    for (index in 0..7) simulation.partitionRegions(25_000 + index * 7_000L, 4_000)
                },
                Scenario("the delegate's zone is cut off during a region partition") { simulation ->
                    simulation.partitionRegions(30_000, 40_000)
                    simulation.time.after(35_000) { simulation.activeFaults.isolatedZones.add(simulation.zones[2]) }
                    simulation.time.after(60_000) { simulation.activeFaults.isolatedZones.clear() }
                },
                Scenario(
                    "only the delegate's zone is cut off, and machines of the region's other zone fail",
                ) { simulation ->
                    simulation.time.after(30_000) { simulation.activeFaults.isolatedZones.add(simulation.zones[2]) }
                    simulation.time.after(34_000) {
                        simulation.cloud.workers
                            .filter { it.zone == simulation.zones[ZONE_WITHOUT_CONTROLLER] }
                            .forEach { simulation.cloud.fail(it.id) }
                    }
                    simulation.time.after(65_000) { simulation.activeFaults.isolatedZones.clear() }
                },
                Scenario(
                    "region partition with stalled peer links, duplicate heartbeats and delayed writes",
                ) { simulation ->
                    simulation.activeFaults.peerLinkStalls = 0.002
                    simulation.activeFaults.duplicateHeartbeats = 0.02
                    simulation.activeFaults.delayedWrites = 0.02
                    simulation.partitionRegions(30_000, 30_000)
                    simulation.cancelAcceptedJobs(45_000)
                    simulation.time.after(100_000) {
                        simulation.activeFaults.peerLinkStalls = 0.0
                        simulation.activeFaults.duplicateHeartbeats = 0.0
                        simulation.activeFaults.delayedWrites = 0.0
                    }
                },
                Scenario("all controllers crash during a region partition") { simulation ->
                    simulation.partitionRegions(30_000, 40_000)
                    simulation.time.after(38_000) { for (node in simulation.nodes) node.crash() }
                    simulation.time.after(42_000) { for (node in simulation.nodes) if (!node.isUp) node.start() }
                },
            )
    }
}
