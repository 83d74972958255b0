package oxbowlug.api

import org.HdrHistogram.Histogram
import java.util.concurrent.TimeUnit

/**
 * Durations of one kind of event: their count and sum since the process started, and their distribution over the
 * present and the previous window of [windowNanos]. Not thread-safe; [nanoTime] is a steady clock.
 */
internal class RecordedDurations(
    private val windowNanos: Long,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private var present = Histogram(SIGNIFICANT_DIGITS)
    private var previous = Histogram(SIGNIFICANT_DIGITS)
    private var presentSince = nanoTime()

    var count = 0L
        private set
    var totalNanos = 0L
        private set

    fun record(nanos: Long) {
        rotate()
        count++
        totalNanos += nanos
        present.recordValue(TimeUnit.NANOSECONDS.toMicros(nanos).coerceAtLeast(0))
    }

    /** The duration in seconds that the given share of the recent events did not exceed, 0 if there were none. */
    fun percentileSeconds(share: Double): Double {
        rotate()
        val recent = present.copy()
        recent.add(previous)
        return recent.getValueAtPercentile(share * PERCENT) / MICROS_PER_SECOND
    }

    private fun rotate() {
        val age = nanoTime() - presentSince
        if (age < windowNanos) return
        val emptied = previous
        emptied.reset()
        // After a long pause the present window is out of date as well.
        if (age >= 2 * windowNanos) present.reset()
        previous = present
        present = emptied
        presentSince = nanoTime()
    }

    private companion object {
        const val SIGNIFICANT_DIGITS = 2
        const val PERCENT = 100.0
        const val MICROS_PER_SECOND = 1_000_000.0
    }
}
