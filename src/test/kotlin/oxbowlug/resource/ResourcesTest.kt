package oxbowlug.resource

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

internal class ResourcesTest {
    @Test
    fun `the number of tasks within a team's limit`() {
        class Case(
            val name: String,
            val cores: Double,
            val gpus: Double,
            val availableCores: Double,
            val availableGpus: Double,
            val tasks: Int,
        )
        val unlimited = Double.POSITIVE_INFINITY
        val cases =
            listOf(
                Case("the scarcer resource decides", 4.0, 1.0, 10.0, 96.0, 2),
                Case("no limit", 4.0, 1.0, unlimited, unlimited, Int.MAX_VALUE),
                Case("a limit of what the task doesn't need", 4.0, 0.0, unlimited, 0.0, Int.MAX_VALUE),
                Case("a task that needs nothing", 0.0, 0.0, 0.0, 0.0, Int.MAX_VALUE),
                Case("nothing left", 4.0, 1.0, unlimited, 0.0, 0),
                Case("more in use than the limit allows", 4.0, 1.0, unlimited, -8.0, 0),
                Case("sums of decimal amounts", 0.1, 0.0, 1.0 - 0.1 - 0.1 - 0.1, unlimited, 7),
            )
        for (case in cases) {
            val need = Resources(case.cores, case.gpus, 16.0)
            assertEquals(case.tasks, need.timesWithin(case.availableCores, case.availableGpus), case.name)
        }
    }

    @Test
    fun `each resource can be the one that doesn't suffice`() {
        val need = Resources(1.0, 1.0, 1.0, 100.0)
        assertTrue(need.fitsIn(need))
        val lacking =
            listOf(
                need.copy(cores = 0.5),
                need.copy(gpus = 0.5),
                need.copy(memoryGb = 0.5),
                need.copy(reportBytes = 99.0),
            )
        for (available in lacking) assertFalse(need.fitsIn(available), "$available")
        assertEquals(Resources(3.0, 3.0, 3.0, 300.0), need * 2.0 + need)
        assertEquals(Resources.NONE, need - need)
    }
}
