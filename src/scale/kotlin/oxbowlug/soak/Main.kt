package oxbowlug.soak

import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.runBlocking
import oxbowlug.cli.Logging
import oxbowlug.scale.InvalidOption
import oxbowlug.scale.StartFailed
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.system.exitProcess

private const val USAGE_ERROR = 2
private const val FAILED = 1

/** Plays seeds on loopback; ends with 1 unless all of them passed, and with 2 for wrong arguments. */
fun main(arguments: Array<String>) {
    val options = try {
        SoakOptionParser().parse(arguments.toList()) ?: return
    } catch (e: InvalidOption) {
        System.err.println("soak: ${e.message}")
        exitProcess(USAGE_ERROR)
    }
    System.setProperty("vertx.disableDnsResolver", "true")
    Logging.configure("error")
    exitProcess(if (Soak(options, ::println).play()) 0 else FAILED)
}

/** Several seeds, some of them at the same time, each reported by a line. */
internal class Soak(
    private val options: SoakOptions,
    private val say: (String) -> Unit,
    private val classPath: String? = null,
) {
    private val running = ConcurrentHashMap.newKeySet<SoakRun>()

    /** Whether every seed passed. */
    fun play(): Boolean {
        // Also on ctrl-C: no controller may be left behind.
        val hook = thread(start = false) { running.forEach { it.close() } }
        Runtime.getRuntime().addShutdownHook(hook)
        val slots = AtomicInteger()
        val slot = ThreadLocal.withInitial { slots.getAndIncrement() }
        val pool = Executors.newFixedThreadPool(options.atOnce)
        val results = try {
            (options.firstSeed until options.firstSeed + options.seeds)
                .map { seed -> pool.submit<SoakVerdict> { playAndReport(seed, slot.get()) } }
                .map { it.get() }
        } finally {
            pool.shutdownNow()
        }
        Runtime.getRuntime().removeShutdownHook(hook)
        val passed = results.count { it is SoakVerdict.Passed }
        val failed = results.count { it is SoakVerdict.Failed }
        say("$passed passed, $failed failed, ${results.size - passed - failed} invalid")
        return passed == results.size
    }

    private fun playAndReport(seed: Long, slot: Int): SoakVerdict {
        val fleet = options.fleet(seed, slot)
        fleet.output.deleteRecursively()
        val run = SoakRun(fleet, options.groups, classPath)
        running.add(run)
        val verdict = try {
            runBlocking(run.vertx.dispatcher()) { run.play() }
        } catch (e: StartFailed) {
            SoakVerdict.Failed(listOf(e.message.orEmpty()), 0)
        } finally {
            run.close()
            running.remove(run)
        }
        report(seed, verdict, run)
        if (verdict is SoakVerdict.Passed) fleet.output.deleteRecursively()
        return verdict
    }

    private fun report(seed: Long, verdict: SoakVerdict, run: SoakRun) {
        when (verdict) {
            is SoakVerdict.Passed ->
                say("seed $seed: passed, ${verdict.starts} starts, stand-ins late by up to ${verdict.stoodStillMs} ms")
            is SoakVerdict.Failed -> say("seed $seed: FAILED\n" + details(seed, verdict.problems, run))
            is SoakVerdict.Invalid -> {
                val why = "stood still for ${verdict.stoodStillMs} ms"
                say("seed $seed: INVALID, $why\n" + details(seed, verdict.problems, run))
            }
        }
    }

    private fun details(seed: Long, problems: List<String>, run: SoakRun): String = buildString {
        problems.take(MOST_SHOWN).forEach { appendLine("  $it") }
        if (problems.size > MOST_SHOWN) appendLine("  and ${problems.size - MOST_SHOWN} more")
        appendLine("  troubles, from when all controllers served:")
        run.schedule.faults.forEach { appendLine("    $it") }
        append("  again: --first $seed --seeds 1 --workers ${options.workers} --controllers ${options.controllers} ")
        append("--groups ${options.groups}; logs: ${options.output}/seed-$seed")
    }

    private companion object {
        const val MOST_SHOWN = 8
    }
}
