package oxbowlug.soak

import kotlinx.coroutines.delay
import oxbowlug.port.Invariant
import oxbowlug.scale.LoopbackRun
import oxbowlug.scale.ScaleOptions
import java.io.File

/** What came of one seed. */
internal sealed interface SoakVerdict {
    /** Nothing was broken, by [starts] starts of tasks. */
    data class Passed(val starts: Int, val stoodStillMs: Long) : SoakVerdict

    data class Failed(val problems: List<String>, val stoodStillMs: Long) : SoakVerdict

    /** The stand-ins stood still for so long that times can't be judged: neither passed nor failed. */
    data class Invalid(val stoodStillMs: Long, val problems: List<String>) : SoakVerdict
}

/** One seed: troubles drawn from it, judged by the stand-ins' own record. */
internal class SoakRun(options: ScaleOptions, groups: Int, classPath: String? = null) :
    LoopbackRun(options, checksStored = true, classPath) {
    private val load = SoakLoad(time, plan, fleet, users)
    private val faults =
        RealFaults(time, topology.zones, network, store, stateFaults, fleet, load, controllers, leaseMs)
    val schedule = FaultSchedule.draw(options.seed, groups, FAULTS_FROM_MS, FAULTS_TO_MS, leaseMs)

    private val leaseMs: Long get() = (options.leaseS * MS).toLong()

    /** Runs on the event loop, which owns all state of the stand-ins. */
    suspend fun play(): SoakVerdict {
        listen()
        fleet.boot()
        controllers.forEach { it.start() }
        users.start()
        awaitHealthy()
        // Starting so many processes takes all of the machine; nothing is judged by then.
        clock.latestMs = 0
        time.every(CHECK_MS) {
            fleet.checker.check(fleet.cloud.workers)
            controllers.forEach { it.keepUp() }
        }
        time.every(SECOND_MS) { fleet.checker.checkStored(fleet.cloud.workers) }
        val beganAt = time.nowMs
        faults.play(schedule)
        load.begin(untilMs = beganAt + FAULTS_TO_MS + leaseMs)
        awaitUntil(beganAt + maxOf(schedule.endMs, FAULTS_TO_MS) + leaseMs)
        val calmAt = time.nowMs
        while (time.nowMs < calmAt + CALM_MS && unfinished(calmAt).isNotEmpty()) delay(LOOK_MS)
        return verdict(calmAt, clock.latestMs)
    }

    private suspend fun awaitUntil(ms: Long) {
        while (time.nowMs < ms) delay(LOOK_MS)
    }

    /** What isn't served, or was not answered for since all troubles ended. */
    private fun unfinished(calmAt: Long): List<String> {
        val unserved = fleet.checker.unfinished().map { "not served: $it" }
        val unheard = fleet.checker.jobs.filterValues { it.accepted && it.finalSince == null && it.answeredAt < calmAt }
        return unserved + unheard.keys.map { "not answered since: $it" }
    }

    private fun verdict(calmAt: Long, stoodStillMs: Long): SoakVerdict {
        val checker = fleet.checker
        val problems = checker.ruleViolations + violations() + unfinished(calmAt) + endedByThemselves()
        return when {
            stoodStillMs > leaseMs / STALL_PART -> SoakVerdict.Invalid(stoodStillMs, problems)
            problems.isNotEmpty() -> SoakVerdict.Failed(problems, stoodStillMs)
            checker.starts == 0 -> SoakVerdict.Failed(listOf("nothing_ran"), stoodStillMs)
            else -> SoakVerdict.Passed(checker.starts, stoodStillMs)
        }
    }

    /** What the controllers themselves found: an error line for each. */
    private fun violations(): List<String> = logs().flatMap { log ->
        log.readLines().filter { line -> Invariant.entries.any { "invariant ${it.label}" in line } }
            .map { "${log.name}: $it" }
    }

    private fun logs(): List<File> = options.output.listFiles { file -> file.extension == "log" }.orEmpty().toList()

    private fun endedByThemselves(): List<String> =
        controllers.filter { it.endedByItself > 0 }.map { "${it.place.label} ended by itself" }

    private companion object {
        const val MS = 1000.0
        const val SECOND_MS = 1_000L
        const val CHECK_MS = 100L
        const val LOOK_MS = 100L
        const val FAULTS_FROM_MS = 3_000L
        const val FAULTS_TO_MS = 18_000L
        const val CALM_MS = 45_000L

        /** Standing still for a quarter of a lease or longer, the stand-ins themselves would break the rules. */
        const val STALL_PART = 4
    }
}
