package oxbowlug.core

import kotlin.math.sqrt

/**
 * A limit on submissions in progress that follows measured commit times, gradient style: it grows while commits
 * take about as long as they did at their best, and shrinks as they take longer.
 */
class AdmissionLimit(private val min: Int = 4, private val max: Int = 200) {
    private var estimate = START
    private var longMs = 0.0
    var inProgress = 0
        private set
    val limit: Int get() = estimate.toInt().coerceIn(min, max)

    fun tryEnter(): Boolean {
        if (inProgress >= limit) return false
        inProgress++
        return true
    }

    fun leave(tookMs: Long, applied: Boolean) {
        val crowded = inProgress * 2 >= limit
        inProgress--
        if (!applied) {
            estimate = maxOf(min.toDouble(), estimate * BACK_OFF)
            return
        }
        val took = tookMs.coerceAtLeast(1).toDouble()
        longMs = if (longMs == 0.0) took else longMs + (took - longMs) * LONG_SHARE
        // After a slow spell the long average comes down faster than it went up, or every later time looks good.
        if (longMs > took * 2) longMs *= RECOVERY
        val gradient = (TOLERANCE * longMs / took).coerceIn(0.5, 1.0)
        val next = estimate * gradient + sqrt(estimate)
        // Idle samples say nothing about what a larger limit would do.
        if (next < estimate || crowded) estimate += (next - estimate) * SMOOTHING
        estimate = estimate.coerceIn(min.toDouble(), max.toDouble())
    }

    private companion object {
        const val START = 40.0
        const val BACK_OFF = 0.9
        const val LONG_SHARE = 0.02
        const val RECOVERY = 0.95
        const val TOLERANCE = 2.0
        const val SMOOTHING = 0.2
    }
}
