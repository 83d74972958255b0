package oxbowlug.sim

import oxbowlug.port.Clock
import oxbowlug.standin.VirtualTime

/** A node's clocks: its steady one drifts, its time of day is off by a constant. */
internal class DriftingClock(
    private val time: VirtualTime,
    private val drift: Double,
    private val offMs: Long,
) : Clock {
    override fun steadyMs(): Long = (time.nowMs * (1.0 + drift)).toLong()

    override fun wallMs(): Long = BASE_MS + time.nowMs + offMs

    /** On virtual time the process's own work takes none. */
    override fun nanoTime(): Long = time.nowMs * 1_000_000

    private companion object {
        const val BASE_MS = 1_700_000_000_000L
    }
}
