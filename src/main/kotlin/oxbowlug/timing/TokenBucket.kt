package oxbowlug.timing

/** A token bucket for this controller's share of a published rate; its burst size is one second's worth of tokens. */
internal class TokenBucket(
    private var perSecond: Double,
) {
    private val burst: Double get() = perSecond
    private var tokens = burst
    private var refilledAtMs = Long.MIN_VALUE

    /** Refills the bucket up to [now], in milliseconds of the steady clock, and returns the tokens in it. */
    fun available(now: Long): Double {
        if (refilledAtMs != Long.MIN_VALUE) tokens = minOf(burst, tokens + (now - refilledAtMs) * perSecond / 1000.0)
        refilledAtMs = now
        return tokens
    }

    /** Whether the bucket is full, so that waiting brings no further tokens. */
    fun isFull(now: Long): Boolean = available(now) >= burst - EPSILON

    /** The tokens that deferrable work may take: the rest is reserved so that urgent work isn't delayed. */
    fun spare(now: Long): Double = available(now) - burst * RESERVED_SHARE

    /** Lowers the rate to [newPerSecond]; a higher rate than the present one has no effect. */
    fun lowerRate(newPerSecond: Double) {
        perSecond = minOf(perSecond, newPerSecond)
        tokens = minOf(tokens, perSecond)
    }

    /** Takes [amount] tokens unconditionally: the balance may become negative. */
    fun take(
        amount: Double,
        now: Long,
    ) {
        available(now)
        tokens -= amount
    }

    /** Takes [amount] tokens and returns true, or takes none and returns false if fewer are available. */
    fun tryTake(
        amount: Double,
        now: Long,
    ): Boolean {
        if (available(now) < amount) return false
        tokens -= amount
        return true
    }

    private companion object {
        /** Tolerance for rounding errors. */
        const val EPSILON = 1e-6

        /** Share of the burst size that is reserved for urgent work. */
        const val RESERVED_SHARE = 0.5
    }
}
