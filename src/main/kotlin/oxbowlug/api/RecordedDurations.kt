package oxbowlug.api

import org.HdrHistogram.Histogram
import java.util.concurrent.TimeUnit

/**
 * Durations of one kind of event: their count and sum since the process started, and a histogram over the current and
 * the previous window of [windowNanos]. Not thread-safe; [nanoTime] is a monotonic clock.
 */
internal class RecordedDurations(
    private val windowNanos: Long,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private var current = Histogram(SIGNIFICANT_DIGITS)
    private var previous = Histogram(SIGNIFICANT_DIGITS)
    private var currentSince = nanoTime()

    var count = 0L
        private set
    var totalNanos = 0L
        private set

    fun record(nanos: Long) {
        rotate()
        count++
        totalNanos += nanos
        current.recordValue(TimeUnit.NANOSECONDS.toMicros(nanos).coerceAtLeast(0))
    }

    /** The percentile [fraction] (0.0 to 1.0) of the durations in both windows, in seconds; 0 if there are none. */
    fun percentileSeconds(fraction: Double): Double {
        rotate()
        val recent = current.copy()
        recent.add(previous)
        return recent.getValueAtPercentile(fraction * PERCENT) / MICROS_PER_SECOND
    }

    private fun rotate() {
        val age = nanoTime() - currentSince
        if (age < windowNanos) return
        val recycled = previous
        recycled.reset()
        // The current window ended at least one window ago, so its durations are out of date as well.
        if (age >= 2 * windowNanos) current.reset()
        previous = current
        current = recycled
        currentSince = nanoTime()
    }

    private companion object {
        const val SIGNIFICANT_DIGITS = 2
        const val PERCENT = 100.0
        const val MICROS_PER_SECOND = 1_000_000.0
    }
}
