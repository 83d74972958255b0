package oxbowlug.request

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

internal class AdaptiveConcurrencyLimitTest {
    private fun AdaptiveConcurrencyLimit.serve(
        count: Int,
        tookMs: Long,
    ) = repeat(count) {
        var entered = 0
        while (tryAcquire()) entered++
        repeat(entered) { release(tookMs, applied = true) }
    }

    @Test
    fun `over the limit nobody enters, and whoever leaves makes room`() {
        val limit = AdaptiveConcurrencyLimit()
        repeat(limit.limit) { assertTrue(limit.tryAcquire()) }
        assertFalse(limit.tryAcquire())
        limit.release(5, applied = true)
        assertTrue(limit.tryAcquire())
    }

    @Test
    fun `it shrinks as commits slow down and recovers when they are fast again`() {
        val limit = AdaptiveConcurrencyLimit()
        limit.serve(20, 5)
        val fast = limit.limit
        limit.serve(3, 400)
        val slow = limit.limit
        assertTrue(slow < fast / 2, "$fast -> $slow")
        limit.serve(40, 5)
        assertTrue(limit.limit > slow * 2, "$slow -> ${limit.limit}")
        assertEquals(0, limit.inProgress)
    }

    @Test
    fun `refused commits shrink it, though never to nothing`() {
        val limit = AdaptiveConcurrencyLimit()
        repeat(500) {
            assertTrue(limit.tryAcquire())
            limit.release(1, applied = false)
        }
        assertEquals(4, limit.limit)
    }
}
