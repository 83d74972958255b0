package oxbowlug.scale

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

internal class ScaleOptionsTest {
    private fun parse(vararg arguments: String) = ScaleOptionParser().parse(arguments.toList())

    @Test
    fun `invalid arguments are rejected with one line that begins with the option's name`() {
        val cases =
            listOf(
                listOf("--workers", "0") to "workers: ",
                listOf("--workers", "1000000") to "workers: ",
                listOf("--workers", "100", "--controllers", "1", "--max-sockets", "50") to "max-sockets: ",
                listOf("--controllers", "0") to "controllers: ",
                listOf("--regions", "4", "--zones", "3") to "zones: ",
                listOf("--teams", "0") to "teams: ",
                listOf("--scenarios", "ordinary,earthquake") to "scenarios: earthquake ",
                listOf("--scenario-seconds", "0") to "scenario-seconds: ",
                listOf("--lease-s", "4", "--report-s", "2.5") to "lease-s: ",
                listOf("--heap-mb", "1") to "heap-mb: ",
                listOf("--write-rps", "0") to "write-rps: ",
                listOf("--peak-starts", "-1") to "peak-starts: ",
                listOf("--deploy", "deploy/nowhere.toml") to "deploy: ",
                listOf("--first-port", "99") to "first-port: ",
                listOf("stray") to "stray: ",
            )
        for ((arguments, expected) in cases) {
            val message = assertThrows(InvalidOption::class.java) { parse(*arguments.toTypedArray()) }.message.orEmpty()
            assertTrue(message.startsWith(expected), "$arguments: $message")
            assertEquals(1, message.lines().size, "$arguments")
        }
    }

    @Test
    fun `the default is a small fleet, and a fleet's rates are proportional to its size`() {
        val small = parse() ?: error("the arguments asked only for help")
        assertEquals(40, small.workers)
        assertEquals(492, small.targetTasks)
        assertEquals(listOf(Scenario.ORDINARY, Scenario.PEAK, Scenario.LEADER_KILLED), small.scenarios)
        val full = parse("--workers", "6500") ?: error("the arguments asked only for help")
        assertEquals(63_000.0, full.jobsPerDay, 1e-6)
        assertEquals(2_900.0, full.peakStartsPerSecond, 1e-6)
        val half = parse("--workers", "3250") ?: error("the arguments asked only for help")
        assertEquals(1_450.0, half.peakStartsPerSecond, 1e-6)
    }

    @Test
    fun `the fleet plan keeps the proportions of the full size`() {
        val options =
            parse("--workers", "6500", "--teams", "170", "--zones", "15", "--regions", "4")
                ?: error("the arguments asked only for help")
        val plan = FleetPlan(options, Topology(options))
        val jobs = plan.standingJobs()
        assertEquals(79_950, jobs.sumOf { it.spec.tasks })
        val perTeam = jobs.groupBy { it.spec.team.value }
        assertEquals(170, perTeam.size)
        for (team in plan.teams) {
            val used = perTeam.getValue(team.name).sumOf { it.spec.tasks * it.spec.gpus }
            assertTrue(used <= team.maxGpus, "${team.name} is asked to use $used of ${team.maxGpus} GPUs")
        }
        val gpus = (0 until options.workers).sumOf { plan.typeOf(it).gpus }
        assertTrue(gpus in 6_400.0..6_700.0, "$gpus accelerators")
    }
}
