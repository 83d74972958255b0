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

/** Runs the soak test on loopback. Exits with 1 unless all seeds passed, and with 2 on invalid arguments. */
fun main(arguments: Array<String>) {
    val options = try {
        SoakOptionParser().parse(arguments.toList()) ?: return
    } catch (e: InvalidOption) {
        System.err.println("soak: ${e.message}")
        exitProcess(USAGE_ERROR)
    }
    System.setProperty("vertx.disableDnsResolver", "true")
    Logging.configure("error")
    exitProcess(if (Soak(options, ::println).execute()) 0 else FAILED)
}

/** Runs several seeds, [SoakOptions.concurrentSeeds] of them at a time, and prints the result of each. */
internal class Soak(
    private val options: SoakOptions,
    private val printLine: (String) -> Unit,
    private val classPath: String? = null,
) {
    private val running = ConcurrentHashMap.newKeySet<SoakRun>()

    /** Returns whether every seed passed. */
    fun execute(): Boolean {
        // Stops the controller processes on Ctrl-C too.
        val hook = thread(start = false) { running.forEach { it.close() } }
        Runtime.getRuntime().addShutdownHook(hook)
        val slots = AtomicInteger()
        val slot = ThreadLocal.withInitial { slots.getAndIncrement() }
        val pool = Executors.newFixedThreadPool(options.concurrentSeeds)
        val results = try {
            (options.firstSeed until options.firstSeed + options.seeds)
                .map { seed -> pool.submit<SoakResult> { runSeed(seed, slot.get()) } }
                .map { it.get() }
        } finally {
            pool.shutdownNow()
        }
        Runtime.getRuntime().removeShutdownHook(hook)
        val passed = results.count { it is SoakResult.Passed }
        val failed = results.count { it is SoakResult.Failed }
        printLine("$passed passed, $failed failed, ${results.size - passed - failed} invalid")
        return passed == results.size
    }

    private fun runSeed(seed: Long, slot: Int): SoakResult {
        val fleet = options.fleet(seed, slot)
        fleet.output.deleteRecursively()
        val run = SoakRun(fleet, options.groups, options.largeArrays, classPath)
        running.add(run)
        val result = try {
            runBlocking(run.vertx.dispatcher()) { run.execute() }
        } catch (e: StartFailed) {
            SoakResult.Failed(listOf(e.message.orEmpty()), 0)
        } finally {
            run.close()
            running.remove(run)
        }
        report(seed, result, run)
        if (result is SoakResult.Passed) fleet.output.deleteRecursively()
        return result
    }

    private fun report(seed: Long, result: SoakResult, run: SoakRun) {
        when (result) {
            is SoakResult.Passed ->
                printLine(
                    "seed $seed: passed, ${result.starts} starts, ${result.repeats} repeats, " +
                        "stand-ins late by up to ${result.maxStallMs} ms",
                )
            is SoakResult.Failed -> printLine("seed $seed: FAILED\n" + details(seed, result.problems, run))
            is SoakResult.Invalid -> {
                val reason = "stand-ins stalled for ${result.maxStallMs} ms"
                printLine("seed $seed: INVALID, $reason\n" + details(seed, result.problems, run))
            }
        }
    }

    private fun details(seed: Long, problems: List<String>, run: SoakRun): String = buildString {
        problems.take(MAX_PROBLEMS_SHOWN).forEach { appendLine("  $it") }
        if (problems.size > MAX_PROBLEMS_SHOWN) appendLine("  and ${problems.size - MAX_PROBLEMS_SHOWN} more")
        appendLine("  faults, timed from when all controllers were healthy:")
        run.schedule.faults.forEach { appendLine("    $it") }
        append("  repeat: --first $seed --seeds 1 --workers ${options.workers} --controllers ${options.controllers} ")
        append("--groups ${options.groups} --large-arrays ${options.largeArrays}; ")
        append("logs: ${options.output}/seed-$seed")
    }

    private companion object {
        const val MAX_PROBLEMS_SHOWN = 8
    }
}
