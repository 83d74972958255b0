package oxbowlug.sim

import oxbowlug.port.Clock
import oxbowlug.standin.VirtualTime

/** The clocks of a simulated controller: the monotonic one drifts, the wall clock has a constant offset. */
internal class DriftingClock(
    private val time: VirtualTime,
    private val driftRate: Double,
    private val wallClockOffsetMs: Long,
) : Clock {
    override fun steadyMs(): Long = (time.nowMs * (1.0 + driftRate)).toLong()

    override fun wallMs(): Long = WALL_CLOCK_START_MS + time.nowMs + wallClockOffsetMs

    /** Virtual time doesn't advance during computation, so all measured durations of the process's own work are 0. */
    override fun nanoTime(): Long = time.nowMs * 1_000_000

    private companion object {
        /** Wall-clock time at the start of the simulation, since the Unix epoch. */
        const val WALL_CLOCK_START_MS = 1_700_000_000_000L
    }
}
