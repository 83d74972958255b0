package oxbowlug.scale

import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.runBlocking
import oxbowlug.cli.Logging
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.system.exitProcess

private const val USAGE_ERROR = 2
private const val FAILED = 1

/** Runs a fleet on loopback and writes the report. Exits with 1 if the run failed, and with 2 on invalid arguments. */
fun main(arguments: Array<String>) {
    val options = try {
        ScaleOptionParser().parse(arguments.toList()) ?: return
    } catch (e: InvalidOption) {
        System.err.println("scale run: ${e.message}")
        exitProcess(USAGE_ERROR)
    }
    System.setProperty("vertx.disableDnsResolver", "true")
    Logging.configure("error")
    exitProcess(if (runAndReport(options)) 0 else FAILED)
}

private fun runAndReport(options: ScaleOptions): Boolean {
    val run = try {
        ScaleRun(options, ::println)
    } catch (e: StartFailed) {
        System.err.println("scale run: ${e.message}")
        return false
    }
    val isClosed = AtomicBoolean()

    fun closeOnce() {
        if (isClosed.compareAndSet(false, true)) run.close()
    }
    // Stops the controller processes on Ctrl-C too.
    Runtime.getRuntime().addShutdownHook(thread(start = false) { closeOnce() })
    val report = try {
        runBlocking(run.vertx.dispatcher()) { run.execute() }
    } catch (e: StartFailed) {
        run.report(e.message)
    } finally {
        closeOnce()
    }
    for (file in ReportFiles(options.output).write(report)) println("written: $file")
    report.problem?.let { System.err.println("scale run: $it") }
    return report.problem == null
}
