package oxbowlug.cache

import oxbowlug.port.ChangesOutcome
import oxbowlug.port.Clock
import oxbowlug.port.StatePort
import oxbowlug.record.Keys
import oxbowlug.timing.Timing

/**
 * Keeps the state cache up to date with two kinds of reads: a watch, which the state service answers when something
 * changes, and catch-up reads, which it answers at once. One of each may be in flight at the same time. Catch-up reads
 * are at least [Timing.catchUpGapMs] apart; each serves all [catchUp] calls that were pending when it was sent.
 */
internal class ChangeReads(
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    /** The leader watches at shorter intervals than a follower, because task starts wait for the changes. */
    private val isLeading: () -> Boolean,
    private val target: Target,
) {
    /** The cache that the changes are applied to. */
    interface Target {
        /** All changes up to this revision have been applied. */
        val revision: Long

        /**
         * Handles the outcome of a read of the changes since revision [from] that was sent at [sentAt] by the steady
         * clock. Returns true if everything that was committed before that time is now applied.
         */
        fun handleChanges(
            outcome: ChangesOutcome,
            from: Long,
            sentAt: Long,
        ): Boolean
    }

    private var pendingCatchUps = ArrayList<(Boolean) -> Unit>()
    private var isCatchingUp = false
    private var isWatching = false
    private var nextWatchAt = 0L
    private var nextCatchUpAt = 0L

    /** Sends the reads that are due. Called only while the cache is synced. */
    fun tick(now: Long) {
        if (!isWatching && now >= nextWatchAt) watch()
        if (!isCatchingUp && pendingCatchUps.isNotEmpty() && now >= nextCatchUpAt) startCatchUp()
    }

    /** Calls [onComplete] with true once everything that was committed before this call is applied, or with false. */
    fun catchUp(onComplete: (Boolean) -> Unit) {
        pendingCatchUps.add(onComplete)
        if (!isCatchingUp && clock.steadyMs() >= nextCatchUpAt) startCatchUp()
    }

    private fun startCatchUp() {
        val servedCatchUps = pendingCatchUps
        pendingCatchUps = ArrayList()
        isCatchingUp = true
        val sentAt = clock.steadyMs()
        nextCatchUpAt = sentAt + timing.catchUpGapMs
        val from = target.revision
        state.changes(Keys.ROOT, from, 0) { outcome ->
            isCatchingUp = false
            val isCaughtUp = target.handleChanges(outcome, from, sentAt)
            for (onComplete in servedCatchUps) onComplete(isCaughtUp)
        }
    }

    private fun watch() {
        isWatching = true
        val sentAt = clock.steadyMs()
        val from = target.revision
        state.changes(Keys.ROOT, from, timing.watchTimeoutMs) { outcome ->
            isWatching = false
            val isCaughtUp = target.handleChanges(outcome, from, sentAt)
            nextWatchAt = clock.steadyMs() + if (isCaughtUp) watchPauseMs() else timing.retryMs()
        }
    }

    private fun watchPauseMs(): Long = if (isLeading()) timing.watchGapMs else timing.followerWatchGapMs
}
