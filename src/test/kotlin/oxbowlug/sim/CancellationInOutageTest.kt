package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import oxbowlug.standin.SimWorker
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobKind

/**
 * The state service refuses the leader alone, other controllers confirm cancellations, and then it is down for all for
 * longer than a cancellation may take, while workers go on reporting to the old leader.
 */
internal class CancellationInOutageTest {
    class Case(
        val name: String,
        /** Whether all that isn't cancelled has to run on through the outage. */
        val runsOn: Boolean = true,
        val cancels: Boolean = true,
        /** How long what was cancelled may still be there; null: as long as the protocol allows. */
        val goneWithinMs: Long? = null,
        val outageMs: Long = 45_000,
        val trouble: Gap.() -> Unit = {},
    ) {
        override fun toString() = name
    }

    class Gap(
        seed: Long,
    ) {
        val day =
            Simulation(
                seed,
                parameters = SimulationParameters(nodes = 5, initialMachines = 12, initialJobs = 40, serviceDurationMs = LATER),
            )
        lateinit var leader: SimNode
        lateinit var confirmer: SimNode

        /** Running services, those to be cancelled first. */
        lateinit var running: List<String>
        val cancelled: List<String> get() = running.take(CANCELLED)

        fun at(
            ms: Long,
            action: () -> Unit,
        ) = day.time.after(REFUSED_MS + ms - day.time.nowMs, action)

        fun running(): Set<AttemptId> =
            day.cloud.workers
                .flatMap { it.runningTasks() }
                .filter { day.spec(it.attempt.task.job.value)?.kind == JobKind.SERVICE }
                .map { it.attempt }
                .toSet()

        fun hosts(job: String): List<SimWorker> =
            day.cloud.workers.filter { worker ->
                worker.runningTasks().any { it.attempt.task.job.value == job }
            }

        private var told = 0
        var endsAfterAnswers = Int.MAX_VALUE

        /** So that no watch brings the last ones to the others. */
        var outageAtOnce = false

        /** The confirmer's last deed is its answer to a user. */
        private fun whenTold() {
            if (++told != endsAfterAnswers) return
            day.time.after(0) {
                confirmer.crash()
                if (outageAtOnce) day.store.down = true
            }
        }

        fun leaveAllTo(one: SimNode) {
            for (node in day.nodes) {
                node.withoutWorkers = node !== one
                node.withoutCloud = node !== one
            }
            at(47_000) {
                for (node in day.nodes) {
                    node.withoutWorkers = false
                    node.withoutCloud = false
                }
            }
        }

        fun refuse(forMs: Long) {
            leader.withoutState = true
            day.time.after(forMs) { leader.withoutState = false }
        }

        fun play(case: Case) {
            day.run(REFUSED_MS)
            leader = day.leader
            confirmer = day.nodes.first { it !== leader }
            running = running().map { it.task.job.value }.distinct().sortedByDescending { hosts(it).size }
            refuse(14_000)
            case.trouble(this)
            if (case.cancels) {
                at(500) { cancelled.forEach { day.cancelThrough(confirmer, it, ::whenTold) } }
            }
            at(2_000) { day.store.down = true }
            day.run(REFUSED_MS + 2_000)
            val returned = day.cloud.busyMachinesReturned
            case.goneWithinMs?.let {
                day.run(REFUSED_MS + 500 + it)
                assertEquals(emptyList<SimWorker>(), cancelled.flatMap(::hosts), "${case.name}: still there")
                assertEquals(returned, day.cloud.busyMachinesReturned, "${case.name}: returned for it")
            }
            val before = running().filter { !case.cancels || it.task.job.value !in cancelled }.toSet()
            day.run(REFUSED_MS + 2_000 + case.outageMs)
            val lost = before - running()
            day.store.down = false
            day.run(300_000)
            assertEquals(emptyList<String>(), day.checker.ruleViolations.take(5), case.name)
            if (case.cancels) {
                val confirmed =
                    cancelled.count {
                        day.checker.jobs
                            .getValue(it)
                            .cancelledAt != null
                    }
                assertEquals(CANCELLED, confirmed, "${case.name}: cancellations confirmed")
            }
            assertTrue(before.isNotEmpty(), "${case.name}: nothing ran")
            if (case.runsOn) assertEquals(emptySet<AttemptId>(), lost, "${case.name}: ended in the outage")
            assertEquals(emptyList<String>(), day.checker.unfinished(), "${case.name}: not served")
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `a confirmed cancellation ends in time, and everything else runs on`(case: Case) {
        for (seed in Seeds.all) {
            val gap = Gap(seed)
            try {
                gap.play(case)
            } catch (e: AssertionError) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }

    companion object {
        private val LATER = 150_000L..160_000L
        private const val REFUSED_MS = 40_000L
        private const val CANCELLED = 4

        @JvmStatic
        fun cases(): List<Case> =
            listOf(
                Case("the gap", goneWithinMs = 2_900),
                Case("a plain outage, nothing cancelled", cancels = false) { leader.withoutState = false },
                Case("the confirmer ends right after confirming, and stays away", runsOn = false) {
                    endsAfterAnswers = CANCELLED
                },
                Case("the confirmer ends right after confirming, as the outage begins, and is back") {
                    endsAfterAnswers = CANCELLED
                    outageAtOnce = true
                    at(6_000) { confirmer.start() }
                },
                Case("the confirmer is restarted") {
                    endsAfterAnswers = CANCELLED
                    at(820) { confirmer.start() }
                },
                Case("the confirmer is cut from all others, and ends", runsOn = false) {
                    confirmer.withoutPeers = true
                    at(520) { confirmer.crash() }
                    at(6_000) { confirmer.start() }
                    at(60_000) { confirmer.withoutPeers = false }
                },
                Case("the confirmer is cut from all others, and lives", runsOn = false) {
                    confirmer.withoutPeers = true
                    at(60_000) { confirmer.withoutPeers = false }
                },
                Case("a zone is cut off, nothing cancelled", cancels = false) {
                    leader.withoutState = false
                    at(2_500) { day.activeFaults.isolatedZones.add(leader.zone) }
                    at(47_000) { day.activeFaults.isolatedZones.clear() }
                },
                Case("the leader's zone is cut off, and jobs there are cancelled from the other", runsOn = false) {
                    leader.withoutState = false
                    confirmer = day.nodes.first { it.zone != leader.zone }
                    running = running.filter { job -> hosts(job).any { it.zone == leader.zone } }
                    day.activeFaults.isolatedZones.add(leader.zone)
                    at(50_000) { day.activeFaults.isolatedZones.clear() }
                },
                Case("the old leader ends, and a deputy renews", runsOn = false) { at(1_500) { leader.crash() } },
                Case("the old leader is also cut from its peers", runsOn = false) {
                    leader.withoutPeers = true
                    at(60_000) { leader.withoutPeers = false }
                },
                Case("machines that hold cancelled work hang and go on later", runsOn = false) {
                    at(400) { hosts(cancelled.first()).forEach { it.hungUntil = day.time.nowMs + 8_000 } }
                    at(450) { hosts(cancelled.last()).forEach { it.hungUntil = day.time.nowMs + 33_000 } }
                },
                Case("machines that hold cancelled work hear nothing", runsOn = false) {
                    at(400) { hosts(cancelled.first()).forEach { it.unresponsiveUntil = day.time.nowMs + 60_000 } }
                },
                Case("only the old leader reaches workers, and learns of it when it no longer leads") {
                    leaveAllTo(leader)
                    leader.withoutPeers = true
                    at(6_000) { leader.withoutPeers = false }
                },
                Case(
                    "only the old leader reaches the cloud, and machines of cancelled work hear nothing",
                    runsOn = false,
                ) {
                    leaveAllTo(leader)
                    leader.withoutPeers = true
                    at(6_000) { leader.withoutPeers = false }
                    at(400) { hosts(cancelled.first()).forEach { it.unresponsiveUntil = day.time.nowMs + 7_000 } }
                    // Each time within the lease, and not awake for long enough to take an order.
                    for (ms in 7_500L..44_000L step 8_000) {
                        at(ms) { hosts(cancelled.first()).forEach { it.hungUntil = day.time.nowMs + 7_950 } }
                    }
                },
                Case("machines that hold cancelled work hang again and again", runsOn = false) {
                    // Each time within the lease, and never awake for long enough to take an order.
                    val hosts = hosts(cancelled.first())
                    for (ms in 400L..44_000L step 8_000) {
                        at(
                            ms,
                        ) { hosts.forEach { it.hungUntil = day.time.nowMs + 7_950 } }
                    }
                },
                Case("the refusal repeats before the first is settled") {
                    at(48_000) { refuse(14_000) }
                    at(49_000) { running.drop(CANCELLED).take(2).forEach { day.cancelThrough(confirmer, it) } }
                    at(49_500) { day.store.down = true }
                    at(49_500 + 45_000) { day.store.down = false }
                },
                Case("jobs cancelled as their starts are sent") {
                    at(-300) { repeat(6) { day.submit(day.randomSpec("late-00000$it").copy(tasks = 2)) } }
                    for (ms in 100L..1_500L step 100) {
                        at(ms) { repeat(6) { day.cancelThrough(confirmer, "late-00000$it") } }
                    }
                },
            ).filter(Seeds::isSelected)
    }
}
