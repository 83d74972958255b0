package oxbowlug.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.scale.InvalidOption
import java.io.File

/** Runs a short soak with fixed seeds: real controller processes on loopback, started from the classes under test. */
internal class SoakTest {
    private fun parse(vararg arguments: String) =
        SoakOptionParser().parse(arguments.toList()) ?: error("the arguments asked only for help")

    @Test
    fun `real controller processes break no rule with fixed seeds`() {
        val lines = ArrayList<String>()
        val options = parse("--first", "1", "--seeds", "2", "--at-once", "1", "--groups", "3", "--first-port", "29000")
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        assertTrue(Soak(options, lines::add, classPath).execute(), lines.joinToString("\n"))
        assertEquals("2 passed, 0 failed, 0 invalid", lines.last())
    }

    @Test
    fun `real controller processes outlive large arrays with a fixed seed`() {
        // Guards against the review's second case with the heap of the deploy file: each leader ran out of memory.
        val lines = ArrayList<String>()
        val arguments = arrayOf("--first", "3", "--seeds", "1", "--groups", "1", "--large-arrays", "6")
        val options = parse(*arguments, "--at-once", "1", "--first-port", "29100")
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        assertTrue(Soak(options, lines::add, classPath).execute(), lines.joinToString("\n"))
        assertEquals("1 passed, 0 failed, 0 invalid", lines.last())
    }

    @Test
    fun `a seed always draws the same faults, and the next seed draws others`() {
        fun draw(seed: Long) =
            FaultSchedule.draw(seed, groups = 4, fromMs = 1_000, toMs = 20_000, leaseMs = 5_000).faults
        assertEquals(draw(7), draw(7))
        assertTrue(draw(7) != draw(8))
        assertTrue((1L..200L).flatMap { draw(it) }.map { it.kind }.toSet() == FaultKind.entries.toSet())
    }

    @Test
    fun `invalid options are rejected by name`() {
        class Case(
            val option: String,
            val value: String,
        )
        val cases =
            listOf(
                Case("seeds", "0"),
                Case("at-once", "99"),
                Case("workers", "1"),
                Case("controllers", "0"),
                Case("groups", "-1"),
                Case("large-arrays", "-1"),
                Case("first-port", "80"),
                Case("first", "-1"),
                Case("deploy", "nowhere.toml"),
                Case("seeds", "many"),
                Case("speed", "3"),
            )
        for (case in cases) {
            val refused = assertThrows(InvalidOption::class.java) { parse("--${case.option}", case.value) }
            assertTrue(case.option in refused.message.orEmpty(), "${case.option}: ${refused.message}")
        }
        assertEquals(File("target/soak"), parse().output)
    }
}
