package oxbowlug.scale

import java.io.File
import java.util.concurrent.TimeUnit

/** A controller process that could not be started, with what it logged last. */
internal class StartFailed(message: String) : Exception(message)

/** One controller: a real process of the deployed jar, started again as often as a scenario wants. */
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

    /** Times that it ended without being told to. */
    @Volatile
    var unexpectedExits = 0
        private set
    private var shouldRun = false

    val isAlive: Boolean get() = process?.isAlive ?: false

    /** Processor time of all its lives, as last sampled. */
    val cpuSeconds: Double get() = (previousCpuTicks.get() + currentCpuTicks) / TICKS_PER_S

    @Volatile
    var latest = ProcessSample(0.0, 0.0, 0)
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

    /** Ends it with no chance to say goodbye, as a machine without power does. */
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

    /** Starts it again if it ended by itself: as the platform would. */
    fun restartIfExited() {
        if (!shouldRun || isAlive) return
        unexpectedExits++
        start()
    }

    fun lastLogLines(): String = if (log.isFile) log.readLines().takeLast(LOG_LINES).joinToString("\n") else ""

    /** Reads what the kernel says of it; called from a thread of its own, since thousands of sockets take long. */
    fun sample(withSockets: Boolean) {
        val id = process?.takeIf { it.isAlive }?.pid() ?: return
        val folder = File("/proc/$id")
        try {
            // The name in brackets may hold spaces; what follows it doesn't.
            val fields = File(folder, "stat").readText().substringAfterLast(") ").split(' ')
            currentCpuTicks = fields[USER_TICKS].toLong() + fields[SYSTEM_TICKS].toLong()
            val status = File(folder, "status").readLines()
            val sockets = if (withSockets) countSockets(folder) else latest.sockets
            latest = ProcessSample(megabytes(status, "VmRSS:"), megabytes(status, "VmHWM:"), sockets)
        } catch (_: java.io.IOException) {
            // It ended meanwhile.
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

/** Resident memory now and at most, and open sockets. */
internal data class ProcessSample(val residentMb: Double, val peakMb: Double, val sockets: Int)
