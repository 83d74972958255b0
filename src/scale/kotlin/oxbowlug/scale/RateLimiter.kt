package oxbowlug.scale

import oxbowlug.standin.VirtualTime

/** A token bucket for a published limit of requests a second, with bursts of up to [burstS] seconds' requests. */
internal class RateLimiter(private val time: VirtualTime, private val rps: Double, private val burstS: Int) {
    private var tokens = rps * burstS
    private var tokensAt = 0L

    /** Returns false if the request exceeds the limit. */
    fun tryAcquire(): Boolean {
        tokens = minOf(rps * burstS, tokens + (time.nowMs - tokensAt) * rps / MS_PER_S)
        tokensAt = time.nowMs
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private companion object {
        const val MS_PER_S = 1000.0
    }
}
