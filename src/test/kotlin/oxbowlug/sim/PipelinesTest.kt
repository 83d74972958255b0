package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import oxbowlug.config.WriteLimits
import oxbowlug.record.Keys

/** Pipelines of dependent jobs during rolling upgrades, lowered write limits of the state service and other faults. */
internal class PipelinesTest {
    class Case(
        val name: String,
        /** Controllers run the previous version until they are restarted. */
        val startsOnOldVersion: Boolean = false,
        /** The limits are lowered so early that a transaction in flight may exceed them. */
        val lowersLimitsEarly: Boolean = false,
        val setUp: Simulation.() -> Unit,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `stages start in order, a cancellation ends dependent stages, and all other jobs are served`(case: Case) {
        for (seed in Seeds.all) {
            val simulation =
                Simulation(
                    seed,
                    parameters = SimulationParameters(nodes = 5, initialMachines = 8, nextLimits = NEXT_LIMITS),
                )
            if (case.startsOnOldVersion) simulation.nodes.forEach { it.isOldVersion = true }
            simulation.submitRandomJobs(everyMs = 4_000, untilMs = 90_000)
            simulation.submitPipelines(everyMs = 5_000, untilMs = 90_000)
            case.setUp(simulation)
            // This job runs on so many machines that its record is split in every scenario.
            simulation.at(92_000) { submit(stage("wide").copy(tasks = 24, cores = 16.0)) }
            simulation.run(280_000)
            val context = "${case.name}, seed $seed"
            assertEquals(emptyList<String>(), simulation.checker.ruleViolations.take(5), context)
            assertEquals(emptyList<String>(), simulation.progressChecks.ruleViolations.take(5), context)
            assertEquals(emptyList<String>(), simulation.checker.unfinished(), "$context: not served")
            assertTrue(simulation.store.entry(Keys.FORMAT_MARKER) != null, "$context: the format isn't enabled")
            if (!case.lowersLimitsEarly) assertEquals(0, simulation.store.refusedForSize, "$context: oversized writes")
            assertTrue(simulation.store.partsWritten > 0, "$context: no record was split")
            val stages =
                simulation.checker.jobs
                    .filterKeys { it.startsWith("pipe-") }
                    .values
            assertTrue(stages.count { it.started.isNotEmpty() } > 20, "$context: few stages started")
        }
    }

    companion object {
        /** The value size is less than that of a record of a stage on several machines. */
        private val NEXT_LIMITS = WriteLimits(writeRps = 30.0, valueKb = 0.58, txnOps = 4)

        private fun Simulation.lowerLimits(atMs: Long) = at(atMs) { store.limits = NEXT_LIMITS }

        /** Restarts controllers on the new version in the order of [indexes], [batchSize] at a time. */
        private fun Simulation.upgrade(
            fromMs: Long,
            everyMs: Long,
            indexes: List<Int>,
            batchSize: Int = 1,
        ) {
            for ((batchIndex, group) in indexes.chunked(batchSize).withIndex()) {
                at(fromMs + batchIndex * everyMs) { for (index in group) restart(nodes[index], forMs = 3_000) }
            }
        }

        /** Restarts the controllers on the new version, each time the current leader first or last of those left. */
        private fun Simulation.upgradeByLeader(
            fromMs: Long,
            everyMs: Long,
            leaderFirst: Boolean,
        ) {
            repeat(nodes.size) { batchIndex ->
                at(fromMs + batchIndex * everyMs) {
                    val oldNodes = nodes.filter { it.isOldVersion && it.isUp }
                    val oldLeader = oldNodes.firstOrNull { it === leader }
                    val nextNode =
                        if (leaderFirst) {
                            oldLeader ?: oldNodes.firstOrNull()
                        } else {
                            oldNodes.firstOrNull { it !== oldLeader } ?: oldLeader
                        }
                    if (nextNode != null) restart(nextNode, forMs = 3_000)
                }
            }
        }

        private fun Simulation.unansweredWrites(
            atMs: Long,
            forMs: Long,
        ) = during(atMs, forMs, { activeFaults.unansweredWrites = 0.2 }, { activeFaults.unansweredWrites = 0.0 })

        private fun Simulation.delayedWrites(
            atMs: Long,
            forMs: Long,
        ) = during(atMs, forMs, { activeFaults.delayedWrites = 0.2 }, { activeFaults.delayedWrites = 0.0 })

        /** Users cancel the latest [count] first stages that aren't over, on which running or waiting stages depend. */
        private fun Simulation.cancelFirstStages(
            count: Int,
            atMs: Long,
        ) = at(atMs) {
            val firstStages =
                checker.jobs.values.filter {
                    it.spec.id.value
                        .endsWith("-a") &&
                        it.accepted &&
                        it.observed?.isFinal != true
                }
            for (job in firstStages.takeLast(count)) time.after(time.between(0, 200)) { cancel(job.spec.id.value) }
        }

        private val oxbowlug.wire.JobState.isFinal: Boolean
            get() = this == oxbowlug.wire.JobState.DONE || this == oxbowlug.wire.JobState.CANCELLED

        @JvmStatic
        fun cases(): List<Case> =
            listOf(
                Case("no faults") {},
                Case("the limits are lowered") { lowerLimits(40_000) },
                Case("the leader crashes repeatedly, and the limits are lowered") {
                    lowerLimits(30_000)
                    for (ms in 25_000L..85_000L step 12_000) crashLeader(ms)
                },
                Case("all controllers crash, and the limits are lowered meanwhile") {
                    at(40_000) { nodes.forEach { restart(it, forMs = 5_000) } }
                    lowerLimits(42_000)
                    at(60_000) { nodes.forEach { restart(it, forMs = 400) } }
                },
                Case("transaction answers are lost while stages end and the leader crashes") {
                    followUpProbability = 0.3
                    unansweredWrites(20_000, 70_000)
                    crashLeader(40_000)
                    crashLeader(60_000, forMs = 300)
                },
                Case("transactions are applied late while first stages are cancelled") {
                    followUpProbability = 0.2
                    delayedWrites(20_000, 70_000)
                    for (ms in 25_000L..80_000L step 8_000) cancelFirstStages(2, ms)
                    crashLeader(45_000)
                },
                Case("jobs are cancelled at the moment of their end") {
                    cancelAtTaskEndProbability = 0.15
                    followUpProbability = 0.3
                    crashLeader(50_000)
                },
                Case("the leader loses the state service, first stages are cancelled, then an outage for all") {
                    followUpProbability = 0.2
                    at(40_000) {
                        val node = leader
                        during(0, 14_000, { node.withoutState = true }, { node.withoutState = false })
                    }
                    cancelFirstStages(3, 41_000)
                    during(42_000, 45_000, { store.down = true }, { store.down = false })
                },
                Case("a zone is cut off, and first stages are cancelled") {
                    during(
                        40_000,
                        25_000,
                        { activeFaults.isolatedZones.add(zones[0]) },
                        { activeFaults.isolatedZones.clear() },
                    )
                    cancelFirstStages(3, 44_000)
                    crashLeader(50_000)
                },
                Case("a rolling upgrade, one by one", startsOnOldVersion = true) {
                    upgrade(20_000, 8_000, listOf(0, 1, 2, 3, 4))
                    lowerLimits(75_000)
                },
                Case("a rolling upgrade, two at once", startsOnOldVersion = true) {
                    upgrade(20_000, 10_000, listOf(3, 1, 4, 0, 2), batchSize = 2)
                    lowerLimits(70_000)
                },
                Case("a rolling upgrade, the leader first each time", startsOnOldVersion = true) {
                    upgradeByLeader(20_000, 9_000, leaderFirst = true)
                    lowerLimits(80_000)
                },
                Case("a rolling upgrade, the leader last, while writes are delayed", startsOnOldVersion = true) {
                    delayedWrites(15_000, 60_000)
                    upgradeByLeader(20_000, 9_000, leaderFirst = false)
                    lowerLimits(85_000)
                },
                Case("links between old and new controllers stall during cancellations", startsOnOldVersion = true) {
                    followUpProbability = 0.2
                    during(
                        15_000,
                        80_000,
                        { activeFaults.peerLinkStalls = 0.01 },
                        { activeFaults.peerLinkStalls = 0.0 },
                    )
                    upgrade(20_000, 8_000, listOf(1, 3, 0, 2, 4))
                    for (ms in 22_000L..80_000L step 6_000) cancelFirstStages(1, ms)
                    for (ms in 24_000L..60_000L step 6_000) {
                        at(ms) {
                            val running = cloud.workers.flatMap { it.runningTasks() }.map { it.attempt.task.job.value }
                            running.distinct().take(1).forEach(::cancel)
                        }
                    }
                    lowerLimits(75_000)
                },
                Case("controllers crash and restart on the old version during the upgrade", startsOnOldVersion = true) {
                    at(24_000) {
                        nodes
                            .filter { it.isOldVersion }
                            .take(
                                2,
                            ).forEach { restart(it, forMs = 2_000, isOldVersion = true) }
                    }
                    upgrade(20_000, 9_000, listOf(0, 1, 2, 3))
                    at(58_000) { restart(nodes[4], forMs = 4_000, isOldVersion = true) }
                    at(70_000) { restart(nodes[4], forMs = 4_000) }
                    lowerLimits(90_000)
                },
                Case("large records are unsplit, and the limits are lowered as the format changes", true, true) {
                    at(12_000) {
                        repeat(4) { submit(stage("large-$it").copy(tasks = 40, cores = 8.0), taskMs = 20_000) }
                    }
                    upgrade(20_000, 5_000, listOf(2, 0, 4, 1, 3))
                    var areLimitsLowered = false
                    time.every(20) {
                        if (!areLimitsLowered && store.entry(Keys.FORMAT_MARKER) != null) {
                            areLimitsLowered = true
                            store.limits = NEXT_LIMITS
                            cancel("large-0")
                            time.after(300) { restart(leader, forMs = 2_000) }
                            time.after(2_000) { cancel("large-1") }
                        }
                    }
                },
                Case("stages end, are cancelled, and the leader crashes, within milliseconds") {
                    followUpProbability = 0.2
                    cancelAtTaskEndProbability = 0.3
                    lowerLimits(30_000)
                    var nextCrashAt = 25_000L
                    onTaskDone = {
                        if (time.nowMs >= nextCrashAt && time.nowMs < 90_000) {
                            nextCrashAt = time.nowMs + 9_000
                            time.after(time.between(0, 40)) { restart(leader, forMs = 1_000) }
                        }
                    }
                },
                Case("jobs are cancelled and a zone is cut off during the upgrade", startsOnOldVersion = true) {
                    followUpProbability = 0.2
                    upgrade(20_000, 8_000, listOf(4, 2, 0, 1, 3))
                    for (ms in 22_000L..60_000L step 6_000) {
                        at(ms) {
                            val running =
                                cloud.workers
                                    .flatMap {
                                        it.runningTasks()
                                    }.map { it.attempt.task.job.value }
                                    .distinct()
                            running.take(1).forEach(::cancel)
                        }
                    }
                    during(
                        30_000,
                        12_000,
                        { activeFaults.isolatedZones.add(zones[1]) },
                        { activeFaults.isolatedZones.clear() },
                    )
                    lowerLimits(80_000)
                },
            ).filter(Seeds::isSelected)
    }
}
