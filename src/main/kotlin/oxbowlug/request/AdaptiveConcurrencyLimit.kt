package oxbowlug.request

import kotlin.math.sqrt

/**
 * A limit on submissions in progress that follows measured commit times, gradient style: it grows while commits
 * take about as long as they did at their best, and shrinks as they take longer.
 */
internal class AdaptiveConcurrencyLimit(
    private val min: Int = 4,
    private val max: Int = 200,
) {
    private var estimate = START
    private var bestMs = 0.0
    var inProgress = 0
        private set
    val limit: Int get() = estimate.toInt().coerceIn(min, max)

    /** Admits one submission, which has to [release] when its commit is settled; false: the limit is reached. */
    fun tryAcquire(): Boolean {
        if (inProgress >= limit) return false
        inProgress++
        return true
    }

    /** The commit took [elapsedMs]; one that wasn't [applied] shrinks the limit whatever time it took. */
    fun release(
        elapsedMs: Long,
        applied: Boolean,
    ) {
        val isHalfUsed = inProgress * 2 >= limit
        inProgress--
        if (!applied) {
            estimate = maxOf(min.toDouble(), estimate * BACK_OFF)
            return
        }
        val elapsed = elapsedMs.coerceAtLeast(1).toDouble()
        // The best time seen, which decays only slowly: an average would mistake a long slow spell for the usual thing.
        bestMs = if (bestMs == 0.0 || elapsed < bestMs) elapsed else bestMs + (elapsed - bestMs) * BEST_DECAY
        val gradient = (TOLERANCE * bestMs / elapsed).coerceIn(0.5, 1.0)
        val next = estimate * gradient + sqrt(estimate)
        // Idle samples say nothing about what a larger limit would do.
        if (next < estimate || isHalfUsed) estimate += (next - estimate) * SMOOTHING
        estimate = estimate.coerceIn(min.toDouble(), max.toDouble())
    }

    private companion object {
        const val START = 40.0
        const val BACK_OFF = 0.9
        const val BEST_DECAY = 0.0005

        /** Commits are usually fast and now and then some hundred times slower; only a lasting change counts. */
        const val TOLERANCE = 4.0
        const val SMOOTHING = 0.2
    }
}
