package oxbowlug.scale

import kotlin.concurrent.thread

/** Samples the controllers' processor time, memory and sockets once a second, on its own thread. */
internal class Sampler(private val controllers: List<ControllerProcess>) {
    @Volatile
    private var isRunning = true
    private val thread = thread(start = false, isDaemon = true, name = "sampler") { loop() }

    fun start() = thread.start()

    fun stop() {
        isRunning = false
    }

    private fun loop() {
        var tick = 0
        while (isRunning) {
            for (controller in controllers) controller.sample(withSockets = tick % SOCKET_COUNT_TICKS == 0)
            tick++
            Thread.sleep(INTERVAL_MS)
        }
    }

    private companion object {
        const val INTERVAL_MS = 1_000L
        const val SOCKET_COUNT_TICKS = 3
    }
}
