package oxbowlug.scale

import oxbowlug.standin.VirtualTime

/** A published limit of requests a second, with bursts of [burstS] seconds' worth. */
internal class RequestLimit(private val time: VirtualTime, private val rps: Double, private val burstS: Int) {
    private var tokens = rps * burstS
    private var tokensAt = 0L

    /** False when the request is one too many. */
    fun take(): Boolean {
        tokens = minOf(rps * burstS, tokens + (time.nowMs - tokensAt) * rps / MS)
        tokensAt = time.nowMs
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    private companion object {
        const val MS = 1000.0
    }
}
