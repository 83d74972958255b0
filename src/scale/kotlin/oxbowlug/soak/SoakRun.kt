package oxbowlug.soak

import kotlinx.coroutines.delay
import oxbowlug.port.Invariant
import oxbowlug.scale.LoopbackRun
import oxbowlug.scale.ScaleOptions
import java.io.File

/** The result of one seed. */
internal sealed interface SoakResult {
    /** No rule was broken; [starts] tasks were started, and [repeats] requests were executed once more. */
    data class Passed(val starts: Int, val repeats: Int, val maxStallMs: Long) : SoakResult

    data class Failed(val problems: List<String>, val maxStallMs: Long) : SoakResult

    /** Neither passed nor failed: the stand-ins stalled for so long that the time limits can't be checked. */
    data class Invalid(val maxStallMs: Long, val problems: List<String>) : SoakResult
}

/** Runs one seed: injects the faults drawn from it and checks the rules on what the stand-ins recorded. */
internal class SoakRun(options: ScaleOptions, groups: Int, largeArrays: Int, classPath: String? = null) :
    LoopbackRun(options, checksStoredRecords = true, classPath) {
    private val load = SoakLoad(time, plan, fleet, users, largeArrays)
    private val faults =
        RealFaults(time, topology.zones, network, store, stateFaults, repeats, fleet, load, controllers, leaseMs)
    val schedule = FaultSchedule.draw(options.seed, groups, FAULTS_FROM_MS, FAULTS_TO_MS, leaseMs)

    private val leaseMs: Long get() = (options.leaseS * MS_PER_S).toLong()

    /** Has to run on the event loop, which owns all state of the stand-ins. */
    suspend fun execute(): SoakResult {
        listen()
        fleet.boot()
        controllers.forEach { it.start() }
        users.start()
        awaitHealthy()
        // Starting the processes takes all of the machine's processors. No rule is checked until here, so stalls of the
        // stand-ins during the start don't count.
        clock.maxLagMs = 0
        time.every(CHECK_MS) {
            fleet.checker.check(fleet.cloud.workers)
            controllers.forEach { it.restartIfExited() }
        }
        time.every(SECOND_MS) { fleet.checker.checkStored(fleet.cloud.workers) }
        val startedMs = time.nowMs
        faults.injectAll(schedule)
        load.startSubmitting(untilMs = startedMs + FAULTS_TO_MS + leaseMs)
        awaitUntil(startedMs + maxOf(schedule.endMs, FAULTS_TO_MS) + leaseMs)
        val faultsEndMs = time.nowMs
        while (time.nowMs < faultsEndMs + RECOVERY_TIMEOUT_MS && unfinished(faultsEndMs).isNotEmpty()) delay(POLL_MS)
        return result(faultsEndMs, clock.maxLagMs)
    }

    private suspend fun awaitUntil(ms: Long) {
        while (time.nowMs < ms) delay(POLL_MS)
    }

    /** Jobs that are not served yet, and jobs without an answer to their user since all faults ended. */
    private fun unfinished(faultsEndMs: Long): List<String> {
        val notServed = fleet.checker.unfinished().map { "not served: $it" }
        val unanswered = fleet.checker.jobs.filterValues {
            it.accepted && it.finalSince == null && it.answeredAt < faultsEndMs
        }
        return notServed + unanswered.keys.map { "not answered since: $it" }
    }

    private fun result(faultsEndMs: Long, maxStallMs: Long): SoakResult {
        val checker = fleet.checker
        val problems =
            checker.ruleViolations + invariantViolations() + unfinished(faultsEndMs) + describeUnexpectedExits()
        return when {
            maxStallMs > leaseMs / MAX_STALL_LEASE_DIVISOR -> SoakResult.Invalid(maxStallMs, problems)
            problems.isNotEmpty() -> SoakResult.Failed(problems, maxStallMs)
            checker.starts == 0 -> SoakResult.Failed(listOf("nothing_ran"), maxStallMs)
            else -> SoakResult.Passed(checker.starts, repeats.executed, maxStallMs)
        }
    }

    /** The invariant violations that the controllers detected themselves, an error line of their logs for each. */
    private fun invariantViolations(): List<String> = logs().flatMap { log ->
        log.readLines().filter { line -> Invariant.entries.any { "invariant ${it.label}" in line } }
            .map { "${log.name}: $it" }
    }

    private fun logs(): List<File> = options.output.listFiles { file -> file.extension == "log" }.orEmpty().toList()

    private fun describeUnexpectedExits(): List<String> =
        controllers.filter { it.unexpectedExits > 0 }.map { "${it.identity.label} ended by itself" }

    private companion object {
        const val MS_PER_S = 1000.0
        const val SECOND_MS = 1_000L
        const val CHECK_MS = 100L
        const val POLL_MS = 100L
        const val FAULTS_FROM_MS = 3_000L
        const val FAULTS_TO_MS = 18_000L
        const val RECOVERY_TIMEOUT_MS = 45_000L

        /** Stand-ins that stall for more than a quarter of a lease can break the rules themselves. */
        const val MAX_STALL_LEASE_DIVISOR = 4
    }
}
