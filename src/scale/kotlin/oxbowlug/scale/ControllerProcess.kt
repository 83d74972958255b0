package oxbowlug.scale

import java.io.File
import java.util.concurrent.TimeUnit

/** The run could not start, for example since a controller exited; the message then has its last log lines. */
internal class StartFailed(message: String) : Exception(message)

/** One controller as a real process of the deployed jar. Scenarios can kill, pause and restart it. */
internal class ControllerProcess(
    val identity: ControllerIdentity,
    private val command: List<String>,
    private val log: File,
) {
    @Volatile
    private var process: Process? = null
    private val previousCpuTicks = java.util.concurrent.atomic.AtomicLong()

    @Volatile
    private var currentCpuTicks = 0L

    /** Number of exits that no scenario caused. */
    @Volatile
    var unexpectedExits = 0
        private set
    private var shouldRun = false

    val isAlive: Boolean get() = process?.isAlive ?: false

    /** Processor time of all processes that this controller has had, as last sampled. */
    val cpuSeconds: Double get() = (previousCpuTicks.get() + currentCpuTicks) / TICKS_PER_S

    @Volatile
    var latestSample = ProcessSample(0.0, 0.0, 0)
        private set

    fun start() {
        previousCpuTicks.addAndGet(currentCpuTicks)
        currentCpuTicks = 0
        process = ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start()
        shouldRun = true
    }

    /** Kills the process without a shutdown, like a power failure of its machine. */
    fun kill() {
        shouldRun = false
        process?.destroyForcibly()?.waitFor(KILL_TIMEOUT_S, TimeUnit.SECONDS)
    }

    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    private fun signal(name: String) {
        val id = process?.pid() ?: return
        ProcessBuilder("kill", "-$name", id.toString()).start().waitFor()
    }

    /** Restarts the process after an unexpected exit, as the platform does. */
    fun restartIfExited() {
        if (!shouldRun || isAlive) return
        unexpectedExits++
        start()
    }

    fun lastLogLines(): String = if (log.isFile) log.readLines().takeLast(LOG_LINES).joinToString("\n") else ""

    /** Reads figures from `/proc`. Called on the thread of [Sampler], since counting thousands of sockets is slow. */
    fun sample(withSockets: Boolean) {
        val id = process?.takeIf { it.isAlive }?.pid() ?: return
        val folder = File("/proc/$id")
        try {
            // The command name in parentheses may contain spaces; the fields after it don't.
            val fields = File(folder, "stat").readText().substringAfterLast(") ").split(' ')
            currentCpuTicks = fields[USER_TICKS].toLong() + fields[SYSTEM_TICKS].toLong()
            val status = File(folder, "status").readLines()
            val sockets = if (withSockets) countSockets(folder) else latestSample.sockets
            latestSample = ProcessSample(megabytes(status, "VmRSS:"), megabytes(status, "VmHWM:"), sockets)
        } catch (_: java.io.IOException) {
            // The process exited in the meantime.
        }
    }

    private fun countSockets(folder: File): Int = File(folder, "fd").list()?.count { name ->
        val link = try {
            java.nio.file.Files.readSymbolicLink(File(folder, "fd/$name").toPath()).toString()
        } catch (_: java.io.IOException) {
            ""
        }
        link.startsWith("socket:")
    } ?: 0

    private fun megabytes(status: List<String>, name: String): Double {
        val line = status.firstOrNull { it.startsWith(name) } ?: return 0.0
        return line.filter { it.isDigit() }.toDouble() / KB_PER_MB
    }

    private companion object {
        const val TICKS_PER_S = 100.0
        const val USER_TICKS = 11
        const val SYSTEM_TICKS = 12
        const val KB_PER_MB = 1024
        const val KILL_TIMEOUT_S = 10L
        const val LOG_LINES = 12
    }
}

/** Current and peak resident memory, and the number of open sockets. */
internal data class ProcessSample(val residentMb: Double, val peakMb: Double, val sockets: Int)
