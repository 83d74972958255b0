package oxbowlug.scale

import com.fasterxml.jackson.databind.ObjectMapper
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File

internal class ReportFilesTest {
    @TempDir
    lateinit var folder: File

    private fun result() =
        ScenarioResult(
            scenario = "leader-killed",
            title = "the leader is killed",
            seconds = 25.0,
            controllers = listOf(ControllerUse("controller-0", "zone-0", true, 0.25, 90.0, 95.0, 70, 12.0, 13.0, 5.0)),
            reports = ReportTraffic(16.0, 2048.0, 1024.0, 1.0, 3, 0, 0),
            state = StateTraffic(10.0, 1.0, 4.0, 5.0, 0, 37, 545),
            cloudCallsPerS = 0.7,
            peerBytesPerS = 1_000.0,
            tasksRunning = 492,
            startsAsked = 0,
            startsPerS = 3.0,
            mostStartsInASecond = 29,
            urgentStart = DurationSummary(9, 650, 680, 690),
            acceptance = DurationSummary(8, 10, 110, 110),
            userAnswers = mapOf(200 to 90L),
            allLeasesRenewedAfterMs = 5_800,
            longestWithoutRenewalMs = 8_200,
            tasksLost = 0,
            endedByThemselves = 0,
            standInsProcessorShare = 0.1,
            standInsLatestMs = 6,
            rulesBroken = emptyList(),
        )

    @Test
    fun `a run is written as JSON and as a self-contained page`() {
        val samples = List(3) { Sample(it.toDouble(), listOf(0.1 * it), listOf(90.0), listOf(70), 492) }
        val report = ScaleReport(40, 1, 4, 2, 8, 1, null, 2.5, 492, listOf(result()), samples, "a rule <was> broken")
        val (data, page) = ReportFiles(folder).write(report)
        val read = ObjectMapper().readTree(data)
        assertEquals(5_800, read["scenarios"][0]["allLeasesRenewedAfterMs"].intValue())
        assertEquals(0.25, read["scenarios"][0]["controllers"][0]["processorShare"].doubleValue())
        val html = page.readText()
        assertTrue("0.7/0.7/0.7" in html, "the table has the urgent starts")
        assertTrue("a rule &lt;was&gt; broken" in html, "text is escaped")
        assertEquals(4, Regex("new uPlot\\(").findAll(html.substringAfterLast("<script>")).count(), "plots")
        assertTrue("src=" !in html.substringBefore("<script>"), "nothing is loaded")
    }

    @Test
    fun `durations report the count, percentiles and maximum`() {
        val durations = Durations()
        for (millis in 1L..1_000L) durations.record(millis)
        val summary = durations.summary()
        assertEquals(1_000, summary.count)
        assertTrue(summary.p50Ms in 495..505, "p50 is ${summary.p50Ms}")
        assertTrue(summary.p99Ms in 985..1_000, "p99 is ${summary.p99Ms}")
        assertTrue(summary.maxMs in 995..1_007, "max is ${summary.maxMs}")
    }
}
