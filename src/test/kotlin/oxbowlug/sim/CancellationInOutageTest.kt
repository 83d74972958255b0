package oxbowlug.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import oxbowlug.standin.SimWorker
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobKind

/**
 * The state service refuses only the leader's requests, another controller confirms cancellations, and then the state
 * service is down for all controllers for longer than the cancellation deadline. Meanwhile workers keep sending
 * heartbeats to the old leader, which didn't see the cancellations in the state service.
 */
internal class CancellationInOutageTest {
    class Case(
        val name: String,
        /** Whether every service task that isn't cancelled has to keep running through the outage. */
        val expectsNoLoss: Boolean = true,
        val cancelsJobs: Boolean = true,
        /** Cancelled tasks must have stopped this long after the cancellation; null for the protocol's deadline. */
        val stoppedWithinMs: Long? = null,
        val outageMs: Long = 45_000,
        val setUp: ScenarioRun.() -> Unit = {},
    ) {
        override fun toString() = name
    }

    class ScenarioRun(
        seed: Long,
    ) {
        val simulation =
            Simulation(
                seed,
                parameters =
                    SimulationParameters(
                        nodes = 5,
                        initialMachines = 12,
                        initialJobs = 40,
                        serviceDurationMs = SERVICE_DURATION_MS,
                    ),
            )

        /** The leader at the start, which is then cut off from the state service. */
        lateinit var leader: SimNode

        /** The controller that users ask to cancel jobs. */
        lateinit var confirmer: SimNode

        /** Services that run at the start; the first ones of the list are cancelled. */
        lateinit var serviceJobs: List<String>
        val cancelledJobs: List<String> get() = serviceJobs.take(CANCELLED_JOBS)

        /** Schedules [action] for [ms] after the leader is cut off. */
        fun at(
            ms: Long,
            action: () -> Unit,
        ) = simulation.time.after(LEADER_CUT_OFF_AT_MS + ms - simulation.time.nowMs, action)

        /** Running attempts of services. */
        fun runningAttempts(): Set<AttemptId> =
            simulation.cloud.workers
                .flatMap { it.runningTasks() }
                .filter { simulation.spec(it.attempt.task.job.value)?.kind == JobKind.SERVICE }
                .map { it.attempt }
                .toSet()

        fun machinesOf(job: String): List<SimWorker> =
            simulation.cloud.workers.filter { worker ->
                worker.runningTasks().any { it.attempt.task.job.value == job }
            }

        private var answerCount = 0

        /** Number of answers to cancellations after which [confirmer] crashes. */
        var crashAfterAnswers = Int.MAX_VALUE

        /** The outage begins with the crash, so that no watch delivers the last cancellations to the others. */
        var outageAtCrash = false

        /** Crashes [confirmer] right after it has sent the last of [crashAfterAnswers] answers. */
        private fun onCancellationAnswered() {
            if (++answerCount != crashAfterAnswers) return
            simulation.time.after(0) {
                confirmer.crash()
                if (outageAtCrash) simulation.store.down = true
            }
        }

        /** Cuts all controllers but [reachable] off from workers and cloud until the outage ends. */
        fun leaveOnlyReachable(reachable: SimNode) {
            for (node in simulation.nodes) {
                node.withoutWorkers = node !== reachable
                node.withoutCloud = node !== reachable
            }
            at(47_000) {
                for (node in simulation.nodes) {
                    node.withoutWorkers = false
                    node.withoutCloud = false
                }
            }
        }

        fun cutLeaderFromState(forMs: Long) {
            leader.withoutState = true
            simulation.time.after(forMs) { leader.withoutState = false }
        }

        fun execute(case: Case) {
            simulation.run(LEADER_CUT_OFF_AT_MS)
            leader = simulation.leader
            confirmer = simulation.nodes.first { it !== leader }
            serviceJobs =
                runningAttempts().map { it.task.job.value }.distinct().sortedByDescending { machinesOf(it).size }
            cutLeaderFromState(14_000)
            case.setUp(this)
            if (case.cancelsJobs) {
                at(500) { cancelledJobs.forEach { simulation.cancelThrough(confirmer, it, ::onCancellationAnswered) } }
            }
            at(2_000) { simulation.store.down = true }
            simulation.run(LEADER_CUT_OFF_AT_MS + 2_000)
            val returnedBefore = simulation.cloud.busyMachinesReturned
            case.stoppedWithinMs?.let {
                simulation.run(LEADER_CUT_OFF_AT_MS + 500 + it)
                assertEquals(
                    emptyList<SimWorker>(),
                    cancelledJobs.flatMap(::machinesOf),
                    "${case.name}: tasks of cancelled jobs still run",
                )
                assertEquals(
                    returnedBefore,
                    simulation.cloud.busyMachinesReturned,
                    "${case.name}: busy machines were returned",
                )
            }
            val runningBefore =
                runningAttempts()
                    .filter { !case.cancelsJobs || it.task.job.value !in cancelledJobs }
                    .toSet()
            simulation.run(LEADER_CUT_OFF_AT_MS + 2_000 + case.outageMs)
            val endedTasks = runningBefore - runningAttempts()
            simulation.store.down = false
            simulation.run(300_000)
            assertEquals(emptyList<String>(), simulation.checker.ruleViolations.take(5), case.name)
            if (case.cancelsJobs) {
                val confirmedCount =
                    cancelledJobs.count {
                        simulation.checker.jobs
                            .getValue(it)
                            .cancelledAt != null
                    }
                assertEquals(CANCELLED_JOBS, confirmedCount, "${case.name}: cancellations confirmed")
            }
            assertTrue(runningBefore.isNotEmpty(), "${case.name}: nothing ran")
            if (case.expectsNoLoss) assertEquals(emptySet<AttemptId>(), endedTasks, "${case.name}: ended in the outage")
            assertEquals(emptyList<String>(), simulation.checker.unfinished(), "${case.name}: not served")
        }
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `a confirmed cancellation stops its tasks in time, and all other tasks keep running`(case: Case) {
        for (seed in Seeds.all) {
            val scenarioRun = ScenarioRun(seed)
            try {
                scenarioRun.execute(case)
            } catch (e: AssertionError) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }

    companion object {
        private val SERVICE_DURATION_MS = 150_000L..160_000L

        /** Virtual time at which the leader is cut off from the state service. */
        private const val LEADER_CUT_OFF_AT_MS = 40_000L
        private const val CANCELLED_JOBS = 4

        @JvmStatic
        fun cases(): List<Case> =
            listOf(
                Case("the outage follows confirmed cancellations", stoppedWithinMs = 2_900),
                Case("an outage without cancellations", cancelsJobs = false) { leader.withoutState = false },
                Case("the confirming controller crashes after its answers and stays down", expectsNoLoss = false) {
                    crashAfterAnswers = CANCELLED_JOBS
                },
                Case("the confirming controller crashes after its answers as the outage begins, and restarts") {
                    crashAfterAnswers = CANCELLED_JOBS
                    outageAtCrash = true
                    at(6_000) { confirmer.start() }
                },
                Case("the confirming controller crashes after its answers and restarts before the outage") {
                    crashAfterAnswers = CANCELLED_JOBS
                    at(820) { confirmer.start() }
                },
                Case("the confirming controller is cut off from its peers and crashes", expectsNoLoss = false) {
                    confirmer.withoutPeers = true
                    at(520) { confirmer.crash() }
                    at(6_000) { confirmer.start() }
                    at(60_000) { confirmer.withoutPeers = false }
                },
                Case("the confirming controller is cut off from its peers and stays up", expectsNoLoss = false) {
                    confirmer.withoutPeers = true
                    at(60_000) { confirmer.withoutPeers = false }
                },
                Case("the leader's zone is cut off, without cancellations", cancelsJobs = false) {
                    leader.withoutState = false
                    at(2_500) { simulation.activeFaults.isolatedZones.add(leader.zone) }
                    at(47_000) { simulation.activeFaults.isolatedZones.clear() }
                },
                Case(
                    "the leader's zone is cut off, and its jobs are cancelled through the other zone",
                    expectsNoLoss = false,
                ) {
                    leader.withoutState = false
                    confirmer = simulation.nodes.first { it.zone != leader.zone }
                    serviceJobs = serviceJobs.filter { job -> machinesOf(job).any { it.zone == leader.zone } }
                    simulation.activeFaults.isolatedZones.add(leader.zone)
                    at(50_000) { simulation.activeFaults.isolatedZones.clear() }
                },
                Case("the old leader crashes, and a delegate renews leases", expectsNoLoss = false) {
                    at(1_500) { leader.crash() }
                },
                Case("the old leader is also cut off from its peers", expectsNoLoss = false) {
                    leader.withoutPeers = true
                    at(60_000) { leader.withoutPeers = false }
                },
                Case("machines with cancelled tasks hang and resume later", expectsNoLoss = false) {
                    at(400) {
                        machinesOf(cancelledJobs.first()).forEach { it.hungUntil = simulation.time.nowMs + 8_000 }
                    }
                    at(450) {
                        machinesOf(cancelledJobs.last()).forEach { it.hungUntil = simulation.time.nowMs + 33_000 }
                    }
                },
                Case("no response or command reaches machines with cancelled tasks", expectsNoLoss = false) {
                    at(400) {
                        machinesOf(cancelledJobs.first()).forEach {
                            it.unresponsiveUntil =
                                simulation.time.nowMs + 60_000
                        }
                    }
                },
                Case("only the old leader reaches workers, and is cut off from its peers until its term has ended") {
                    leaveOnlyReachable(leader)
                    leader.withoutPeers = true
                    at(6_000) { leader.withoutPeers = false }
                },
                Case(
                    "only the old leader reaches workers and cloud, but not machines with cancelled tasks",
                    expectsNoLoss = false,
                ) {
                    leaveOnlyReachable(leader)
                    leader.withoutPeers = true
                    at(6_000) { leader.withoutPeers = false }
                    at(400) {
                        machinesOf(cancelledJobs.first()).forEach {
                            it.unresponsiveUntil =
                                simulation.time.nowMs + 7_000
                        }
                    }
                    // Each hang is shorter than the lease, and the time between two of them is too short to execute a
                    // command.
                    for (ms in 7_500L..44_000L step 8_000) {
                        at(ms) {
                            machinesOf(cancelledJobs.first()).forEach { it.hungUntil = simulation.time.nowMs + 7_950 }
                        }
                    }
                },
                Case("machines with cancelled tasks hang repeatedly", expectsNoLoss = false) {
                    // Each hang is shorter than the lease, and the time between any two is too short to execute a
                    // command.
                    val machines = machinesOf(cancelledJobs.first())
                    for (ms in 400L..44_000L step 8_000) {
                        at(ms) { machines.forEach { it.hungUntil = simulation.time.nowMs + 7_950 } }
                    }
                },
                Case("the leader is cut off again before the first cancellations are complete") {
                    at(48_000) { cutLeaderFromState(14_000) }
                    at(49_000) {
                        serviceJobs.drop(CANCELLED_JOBS).take(2).forEach { simulation.cancelThrough(confirmer, it) }
                    }
                    at(49_500) { simulation.store.down = true }
                    at(49_500 + 45_000) { simulation.store.down = false }
                },
                Case("jobs are cancelled while their start commands are sent") {
                    at(-300) { repeat(6) { simulation.submit(simulation.randomSpec("late-00000$it").copy(tasks = 2)) } }
                    for (ms in 100L..1_500L step 100) {
                        at(ms) { repeat(6) { simulation.cancelThrough(confirmer, "late-00000$it") } }
                    }
                },
            ).filter(Seeds::isSelected)
    }
}
