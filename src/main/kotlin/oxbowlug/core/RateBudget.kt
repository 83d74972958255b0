package oxbowlug.core

/** A token bucket that holds one second's worth: this controller's share of a published rate. */
class RateBudget(private val perSecond: Double, private val burst: Double = perSecond) {
    private var tokens = burst
    private var updatedMs = Long.MIN_VALUE

    fun available(now: Long): Double {
        if (updatedMs != Long.MIN_VALUE) tokens = minOf(burst, tokens + (now - updatedMs) * perSecond / 1000.0)
        updatedMs = now
        return tokens
    }

    fun take(amount: Double, now: Long) {
        available(now)
        tokens -= amount
    }

    fun tryTake(amount: Double, now: Long): Boolean {
        if (available(now) < amount) return false
        tokens -= amount
        return true
    }
}
