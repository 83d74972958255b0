package oxbowlug.forecast

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.config.SettingsFile
import oxbowlug.testing.SampleSettings
import oxbowlug.wire.ClassName
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.Priority
import oxbowlug.wire.TeamName

internal class DemandForecastTest {
    private fun spec(tasks: Int) =
        JobSpec(
            JobId("run-1"),
            ClassName("train"),
            TeamName("vision"),
            JobKind.SERVICE,
            Priority.HIGH,
            tasks,
            5.0,
            1.0,
            16.0,
            ImageName("img"),
            4.0,
            null,
            null,
            oneZone = false,
            spread = false,
            spot = false,
            runEstimateS = 0.0,
            checkpointS = 0.0,
            saveS = 0.0,
            deadlineS = null,
        )

    @Test
    fun `the forecast counts submitted tasks, less cancelled ones`() {
        class Case(
            val name: String,
            val submitted: Int,
            val cancelled: Int,
            val nowS: Long,
            val expectedTasks: Int,
        )
        // One task per job, a window of 90 s, a boot of 30 s; the objective's share of 0.9 covers 1.15 deviations.
        val cases =
            listOf(
                Case("nothing submitted", 0, 0, 90, 0),
                Case("only submissions", 27, 0, 90, 9 + 4),
                Case("as many cancelled as submitted", 27, 27, 90, 5),
                Case("more cancelled than submitted", 9, 27, 90, 4),
                Case("all outside the window", 27, 0, 400, 0),
            )
        for (case in cases) {
            val forecast = DemandForecast(SettingsFile.parse(SampleSettings.valid), 90_000)
            repeat(case.submitted) { forecast.add(spec(1), 0) }
            repeat(case.cancelled) { forecast.remove(spec(1), 1_000) }
            val expected = forecast.expected(case.nowS * 1000) { 30.0 }
            assertEquals(case.expectedTasks, expected.sumOf { it.count }, case.name)
        }
    }

    @Test
    fun `of an array only as many tasks count as its team's limit allows at once`() {
        // Found by the review: of three arrays of 100,000 tasks 600,000 were expected, with 16 GPUs to run them.
        val forecast = DemandForecast(SettingsFile.parse(SampleSettings.valid), 90_000)
        repeat(3) { forecast.add(spec(100_000), 0) }
        val expected = forecast.expected(90_000) { 30.0 }
        // 3 * 16 tasks in 90 s, a third of them within the boot time, and 1.15 deviations.
        assertEquals(16 + 19, expected.sumOf { it.count })
        repeat(3) { forecast.remove(spec(100_000), 1_000) }
        assertEquals(27, forecast.expected(90_000) { 30.0 }.sumOf { it.count }, "only the deviations are left")
    }
}
