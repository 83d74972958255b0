package oxbowlug.request

import kotlin.math.sqrt

/**
 * A gradient-based limit on submissions in progress. It grows while commit latency stays close to the best seen, and
 * shrinks as commits slow down.
 */
internal class AdaptiveConcurrencyLimit(
    private val minLimit: Int = 4,
    private val maxLimit: Int = 200,
) {
    private var estimate = INITIAL_LIMIT
    private var bestMs = 0.0
    var inProgress = 0
        private set
    val limit: Int get() = estimate.toInt().coerceIn(minLimit, maxLimit)

    /** Admits a submission; [release] must be called once its commit is settled. Returns false at the limit. */
    fun tryAcquire(): Boolean {
        if (inProgress >= limit) return false
        inProgress++
        return true
    }

    /** Ends a submission whose commit took [elapsedMs]. A commit that wasn't [applied] always shrinks the limit. */
    fun release(
        elapsedMs: Long,
        applied: Boolean,
    ) {
        val isHalfUsed = inProgress * 2 >= limit
        inProgress--
        if (!applied) {
            estimate = maxOf(minLimit.toDouble(), estimate * BACKOFF_FACTOR)
            return
        }
        val elapsed = elapsedMs.coerceAtLeast(1).toDouble()
        // The best latency seen, raised only slowly: an average would take a long slow period for normal.
        bestMs = if (bestMs == 0.0 || elapsed < bestMs) elapsed else bestMs + (elapsed - bestMs) * BEST_DECAY
        val gradient = (TOLERANCE * bestMs / elapsed).coerceIn(0.5, 1.0)
        // The square root of the limit is the headroom for growth, as usual in gradient limiters.
        val next = estimate * gradient + sqrt(estimate)
        // The limit grows only if at least half of it is used: idle samples say nothing about a larger limit.
        if (next < estimate || isHalfUsed) estimate += (next - estimate) * SMOOTHING
        estimate = estimate.coerceIn(minLimit.toDouble(), maxLimit.toDouble())
    }

    private companion object {
        const val INITIAL_LIMIT = 40.0
        const val BACKOFF_FACTOR = 0.9
        const val BEST_DECAY = 0.0005

        /**
         * Commits up to this many times slower than the best one don't shrink the limit. Single commits are now and
         * then about a hundred times slower than usual; only a lasting change counts.
         */
        const val TOLERANCE = 4.0
        const val SMOOTHING = 0.2
    }
}
