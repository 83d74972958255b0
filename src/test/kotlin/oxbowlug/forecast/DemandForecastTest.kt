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
    fun `room is held for what comes, less what comes free meanwhile`() {
        class Case(
            val name: String,
            val came: Int,
            val left: Int,
            val nowS: Long,
            val room: Int,
        )
        // One task a job, a window of 90 s and a boot of 30 s; the objective's share of 0.9 asks for 1.15 deviations.
        val cases =
            listOf(
                Case("nothing came", 0, 0, 90, 0),
                Case("a growing class", 27, 0, 90, 9 + 4),
                Case("as many came as went", 27, 27, 90, 5),
                Case("more went than came", 9, 27, 90, 4),
                Case("all of it is long ago", 27, 0, 400, 0),
            )
        for (case in cases) {
            val forecast = DemandForecast(SettingsFile.parse(SampleSettings.valid), 90_000)
            repeat(case.came) { forecast.add(spec(1), 0) }
            repeat(case.left) { forecast.remove(spec(1), 1_000) }
            val expected = forecast.expected(case.nowS * 1000) { 30.0 }
            assertEquals(case.room, expected.sumOf { it.second }, case.name)
        }
    }
}
