package oxbowlug.timing

/** A token bucket that holds one second's worth: this controller's share of a published rate. */
internal class TokenBucket(
    private var perSecond: Double,
) {
    private val burst: Double get() = perSecond
    private var tokens = burst
    private var updatedMs = Long.MIN_VALUE

    fun available(now: Long): Double {
        if (updatedMs != Long.MIN_VALUE) tokens = minOf(burst, tokens + (now - updatedMs) * perSecond / 1000.0)
        updatedMs = now
        return tokens
    }

    /** Whether nothing more is gained by waiting. */
    fun isFull(now: Long): Boolean = available(now) >= burst - ROUNDING

    /** What deferrable work may take, so that it doesn't keep urgent work from going out at once. */
    fun spare(now: Long): Double = available(now) - burst * RESERVED_SHARE

    /** Lowers the rate to [next] per second; it is never raised. */
    fun lowerRate(next: Double) {
        perSecond = minOf(perSecond, next)
        tokens = minOf(tokens, perSecond)
    }

    /** Takes [amount] even if there is less: the balance may become negative. */
    fun take(
        amount: Double,
        now: Long,
    ) {
        available(now)
        tokens -= amount
    }

    /** Takes [amount] unless there is less; false then. */
    fun tryTake(
        amount: Double,
        now: Long,
    ): Boolean {
        if (available(now) < amount) return false
        tokens -= amount
        return true
    }

    private companion object {
        const val ROUNDING = 1e-6
        const val RESERVED_SHARE = 0.5
    }
}
