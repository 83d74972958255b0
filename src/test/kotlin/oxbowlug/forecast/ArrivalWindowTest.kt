package oxbowlug.forecast

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Compares the window's slots with a list of all changes. */
internal class ArrivalWindowTest {
    private class Change(
        val atMs: Long,
        val tasks: Int,
    )

    private val window = ArrivalWindow(WINDOW_MS)
    private val changes = ArrayList<Change>()

    private fun add(
        atMs: Long,
        tasks: Int,
    ) {
        window.add(atMs, tasks)
        changes.add(Change(atMs, tasks))
    }

    @Test
    fun `the sums are those of the changes in the window, whatever their order and number`() {
        val random = Random(1)
        for (nowMs in 1_000_000L..1_400_000L step SLOT_MS) {
            // Others' clocks are a little ahead, and a new leader reads old jobs first.
            repeat(20) {
                val ageMs = random.nextLong(-1, 2 * WINDOW_MS / SLOT_MS) * SLOT_MS
                add(nowMs - ageMs, random.nextInt(-50, 51))
            }
            val inWindow = changes.filter { it.atMs >= nowMs - WINDOW_MS }
            val sums = window.sums(nowMs)
            assertEquals(inWindow.sumOf { it.tasks.toLong() }, sums.netTasks)
            assertEquals(inWindow.sumOf { it.tasks.toDouble() * it.tasks }, sums.squaredTasks)
        }
    }

    @Test
    fun `a change leaves the window after its length and at most one slot`() {
        add(1_000_000, 3)
        assertTrue(window.sums(1_000_000 + WINDOW_MS).hasSubmissions)
        assertFalse(window.sums(1_000_000 + WINDOW_MS + SLOT_MS).hasSubmissions)
        add(1_000_000, 3)
        window.add(1_000_000 + 2 * WINDOW_MS, 1)
        assertEquals(1, window.sums(1_000_000 + 2 * WINDOW_MS).netTasks, "older changes don't come back")
    }

    @Test
    fun `sums of the largest arrays don't overflow`() {
        repeat(100_000) { window.add(1_000_000, 100_000) }
        assertEquals(10_000_000_000, window.sums(1_000_000).netTasks)
    }

    private companion object {
        const val WINDOW_MS = 90_000L
        const val SLOT_MS = 1_000L
    }
}
