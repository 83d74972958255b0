package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import oxbowlug.config.WriteLimits
import oxbowlug.record.Keys

/** Pipelines of dependent jobs, rolling upgrades and falling limits of the state service, with troubles beside them. */
internal class PipelinesTest {
    class Case(
        val name: String,
        /** Controllers run the version before until they are restarted. */
        val startsOld: Boolean = false,
        /** The limits fall so early that a transaction on its way may be larger. */
        val fallsUnprepared: Boolean = false,
        val play: Simulation.() -> Unit,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `stages start in order, a cancellation ends what comes after it, and all else is served`(case: Case) {
        for (seed in Seeds.all) {
            val day = Simulation(seed, parameters = SimulationParameters(nodes = 5, initialMachines = 8, nextLimits = NEXT))
            if (case.startsOld) day.nodes.forEach { it.isOldVersion = true }
            day.submitRandomJobs(everyMs = 4_000, untilMs = 90_000)
            day.submitPipelines(everyMs = 5_000, untilMs = 90_000)
            case.play(day)
            // On so many machines that its record has to be divided, whatever else the day brings.
            day.at(92_000) { submit(stage("wide").copy(tasks = 24, cores = 16.0)) }
            day.run(280_000)
            val what = "${case.name}, seed $seed"
            assertEquals(emptyList<String>(), day.checker.ruleViolations.take(5), what)
            assertEquals(emptyList<String>(), day.progressChecks.ruleViolations.take(5), what)
            assertEquals(emptyList<String>(), day.checker.unfinished(), "$what: not served")
            assertTrue(day.store.entry(Keys.FORMAT_MARKER) != null, "$what: the format isn't switched on")
            if (!case.fallsUnprepared) assertEquals(0, day.store.refusedForSize, "$what: refused for their size")
            assertTrue(day.store.partsWritten > 0, "$what: no record was divided")
            val stages =
                day.checker.jobs
                    .filterKeys { it.startsWith("pipe-") }
                    .values
            assertTrue(stages.count { it.started.isNotEmpty() } > 20, "$what: few stages started")
        }
    }

    companion object {
        /** Smaller than the record of a stage on several machines. */
        private val NEXT = WriteLimits(writeRps = 30.0, valueKb = 0.58, txnOps = 4)

        private fun Simulation.at(
            ms: Long,
            action: Simulation.() -> Unit,
        ) = time.after(ms) { action() }

        private fun Simulation.limitsFall(atMs: Long) = at(atMs) { store.limits = NEXT }

        private fun Simulation.end(
            node: SimNode,
            forMs: Long,
            isOldVersion: Boolean = false,
        ) {
            if (!node.isUp) return
            node.crash()
            time.after(forMs) {
                node.isOldVersion = isOldVersion
                node.start()
            }
        }

        private fun Simulation.leaderEnds(
            atMs: Long,
            forMs: Long = 3_000,
        ) = at(atMs) { end(leader, forMs) }

        /** In the order of [indexes], so many at a time. */
        private fun Simulation.upgrade(
            fromMs: Long,
            everyMs: Long,
            indexes: List<Int>,
            atOnce: Int = 1,
        ) {
            for ((turn, group) in indexes.chunked(atOnce).withIndex()) {
                at(fromMs + turn * everyMs) { for (index in group) end(nodes[index], forMs = 3_000) }
            }
        }

        /** The leader of the moment is taken first each time, or is left for last. */
        private fun Simulation.upgradeByLeader(
            fromMs: Long,
            everyMs: Long,
            leaderFirst: Boolean,
        ) {
            repeat(nodes.size) { turn ->
                at(fromMs + turn * everyMs) {
                    val old = nodes.filter { it.isOldVersion && it.isUp }
                    val lead = old.firstOrNull { it === leader }
                    val next = if (leaderFirst) lead ?: old.firstOrNull() else old.firstOrNull { it !== lead } ?: lead
                    if (next != null) end(next, forMs = 3_000)
                }
            }
        }

        private fun Simulation.spell(
            atMs: Long,
            forMs: Long,
            begin: () -> Unit,
            end: () -> Unit,
        ) {
            at(atMs) { begin() }
            at(atMs + forMs) { end() }
        }

        private fun Simulation.unansweredWrites(
            atMs: Long,
            forMs: Long,
        ) = spell(atMs, forMs, { activeFaults.unansweredWrites = 0.2 }, { activeFaults.unansweredWrites = 0.0 })

        private fun Simulation.delayedWrites(
            atMs: Long,
            forMs: Long,
        ) = spell(atMs, forMs, { activeFaults.delayedWrites = 0.2 }, { activeFaults.delayedWrites = 0.0 })

        /** The job that a running or waiting stage needs is called off, and users ask about everything at once. */
        private fun Simulation.cancelFirstStages(
            count: Int,
            atMs: Long,
        ) = at(atMs) {
            val first =
                checker.jobs.values.filter {
                    it.spec.id.value
                        .endsWith("-a") &&
                        it.accepted &&
                        it.observed?.isOverQuota != true
                }
            for (job in first.takeLast(count)) time.after(time.between(0, 200)) { cancel(job.spec.id.value) }
        }

        private val oxbowlug.wire.JobState.isOverQuota: Boolean
            get() = this == oxbowlug.wire.JobState.DONE || this == oxbowlug.wire.JobState.CANCELLED

        @JvmStatic
        fun cases(): List<Case> =
            listOf(
                Case("a quiet day") {},
                Case("the limits fall") { limitsFall(40_000) },
                Case("the leader ends again and again, and the limits fall") {
                    limitsFall(30_000)
                    for (ms in 25_000L..85_000L step 12_000) leaderEnds(ms)
                },
                Case("all controllers end, and the limits fall meanwhile") {
                    at(40_000) { nodes.forEach { end(it, forMs = 5_000) } }
                    limitsFall(42_000)
                    at(60_000) { nodes.forEach { end(it, forMs = 400) } }
                },
                Case("answers of transactions are lost while stages end and the leader does") {
                    followUpProbability = 0.3
                    unansweredWrites(20_000, 70_000)
                    leaderEnds(40_000)
                    leaderEnds(60_000, forMs = 300)
                },
                Case("transactions are carried out late while first stages are called off") {
                    followUpProbability = 0.2
                    delayedWrites(20_000, 70_000)
                    for (ms in 25_000L..80_000L step 8_000) cancelFirstStages(2, ms)
                    leaderEnds(45_000)
                },
                Case("jobs are called off in the moment of their end") {
                    cancelAtTaskEndProbability = 0.15
                    followUpProbability = 0.3
                    leaderEnds(50_000)
                },
                Case(
                    "the leader is refused by the state service, first stages are called off, then an outage for all",
                ) {
                    followUpProbability = 0.2
                    at(40_000) {
                        val node = leader
                        spell(0, 14_000, { node.withoutState = true }, { node.withoutState = false })
                    }
                    cancelFirstStages(3, 41_000)
                    spell(42_000, 45_000, { store.down = true }, { store.down = false })
                },
                Case("a zone is cut off, and first stages are called off") {
                    spell(40_000, 25_000, { activeFaults.isolatedZones.add(zones[0]) }, { activeFaults.isolatedZones.clear() })
                    cancelFirstStages(3, 44_000)
                    leaderEnds(50_000)
                },
                Case("a rolling upgrade, one by one", startsOld = true) {
                    upgrade(20_000, 8_000, listOf(0, 1, 2, 3, 4))
                    limitsFall(75_000)
                },
                Case("a rolling upgrade, two at once", startsOld = true) {
                    upgrade(20_000, 10_000, listOf(3, 1, 4, 0, 2), atOnce = 2)
                    limitsFall(70_000)
                },
                Case("a rolling upgrade, the leader first each time", startsOld = true) {
                    upgradeByLeader(20_000, 9_000, leaderFirst = true)
                    limitsFall(80_000)
                },
                Case("a rolling upgrade, the leader last, while writes are late", startsOld = true) {
                    delayedWrites(15_000, 60_000)
                    upgradeByLeader(20_000, 9_000, leaderFirst = false)
                    limitsFall(85_000)
                },
                Case("frames between old and new controllers are held while jobs are called off", startsOld = true) {
                    followUpProbability = 0.2
                    spell(15_000, 80_000, { activeFaults.peerLinkStalls = 0.01 }, { activeFaults.peerLinkStalls = 0.0 })
                    upgrade(20_000, 8_000, listOf(1, 3, 0, 2, 4))
                    for (ms in 22_000L..80_000L step 6_000) cancelFirstStages(1, ms)
                    for (ms in 24_000L..60_000L step 6_000) {
                        at(ms) {
                            val running = cloud.workers.flatMap { it.runningTasks() }.map { it.attempt.task.job.value }
                            running.distinct().take(1).forEach(::cancel)
                        }
                    }
                    limitsFall(75_000)
                },
                Case("old processes end and come back old during the upgrade", startsOld = true) {
                    at(24_000) { nodes.filter { it.isOldVersion }.take(2).forEach { end(it, forMs = 2_000, isOldVersion = true) } }
                    upgrade(20_000, 9_000, listOf(0, 1, 2, 3))
                    at(58_000) { end(nodes[4], forMs = 4_000, isOldVersion = true) }
                    at(70_000) { end(nodes[4], forMs = 4_000) }
                    limitsFall(90_000)
                },
                Case("large records are written whole, and the limits fall as the format changes", true, true) {
                    at(12_000) {
                        repeat(4) { submit(stage("large-$it").copy(tasks = 40, cores = 8.0), taskMs = 20_000) }
                    }
                    upgrade(20_000, 5_000, listOf(2, 0, 4, 1, 3))
                    var hasFallen = false
                    time.every(20) {
                        if (!hasFallen && store.entry(Keys.FORMAT_MARKER) != null) {
                            hasFallen = true
                            store.limits = NEXT
                            cancel("large-0")
                            time.after(300) { end(leader, forMs = 2_000) }
                            time.after(2_000) { cancel("large-1") }
                        }
                    }
                },
                Case("stages end, are called off, and the leader ends, within milliseconds") {
                    followUpProbability = 0.2
                    cancelAtTaskEndProbability = 0.3
                    limitsFall(30_000)
                    var nextEndAt = 25_000L
                    onTaskDone = {
                        if (time.nowMs >= nextEndAt && time.nowMs < 90_000) {
                            nextEndAt = time.nowMs + 9_000
                            time.after(time.between(0, 40)) { end(leader, forMs = 1_000) }
                        }
                    }
                },
                Case("jobs are called off and a zone is cut during the upgrade", startsOld = true) {
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
                    spell(30_000, 12_000, { activeFaults.isolatedZones.add(zones[1]) }, { activeFaults.isolatedZones.clear() })
                    limitsFall(80_000)
                },
            ).filter(Seeds::isSelected)
    }
}
