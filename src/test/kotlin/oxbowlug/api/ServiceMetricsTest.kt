package oxbowlug.api

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.TimeUnit

internal class ServiceMetricsTest {
    private val windowNanos = TimeUnit.MINUTES.toNanos(1)

    @Test
    fun `what was recorded before the first reading is published, and what comes after it`() {
        val metrics = ServiceMetrics(windowNanos)
        metrics.recordPlan(TimeUnit.MILLISECONDS.toNanos(30), 7)
        metrics.recordRefusal("rate")
        val first = metrics.text().lines()
        assertTrue("oxbowlug_plan{statistic=\"count\"} 1.0" in first, "$first")
        assertTrue("oxbowlug_plan{statistic=\"total\"} 0.03" in first, "$first")
        assertTrue("oxbowlug_plan_priced{statistic=\"count\"} 7.0" in first, "$first")
        assertTrue("oxbowlug_refused{statistic=\"count\",reason=\"rate\"} 1.0" in first, "$first")
        metrics.recordRefusal("rate")
        metrics.recordRefusal("away")
        val second = metrics.text().lines()
        assertTrue("oxbowlug_refused{statistic=\"count\",reason=\"rate\"} 2.0" in second, "$second")
        assertTrue("oxbowlug_refused{statistic=\"count\",reason=\"away\"} 1.0" in second, "$second")
    }

    @Test
    fun `percentiles forget what is older than two windows, counts don't`() {
        var now = 0L
        val durations = RecordedDurations(windowNanos) { now }
        repeat(99) { durations.record(TimeUnit.MILLISECONDS.toNanos(1)) }
        durations.record(TimeUnit.SECONDS.toNanos(2))
        assertEquals(0.001, durations.percentileSeconds(0.5), 0.0001)
        assertEquals(2.0, durations.percentileSeconds(1.0), 0.02)
        now += windowNanos
        durations.record(TimeUnit.MILLISECONDS.toNanos(5))
        assertEquals(2.0, durations.percentileSeconds(1.0), 0.02, "the previous window still counts")
        now += windowNanos
        assertEquals(0.005, durations.percentileSeconds(1.0), 0.0001)
        now += 2 * windowNanos
        assertEquals(0.0, durations.percentileSeconds(1.0))
        assertEquals(101, durations.count)
    }
}
