package oxbowlug.cache

import oxbowlug.port.ChangesOutcome
import oxbowlug.port.Clock
import oxbowlug.port.StatePort
import oxbowlug.record.Keys
import oxbowlug.timing.Timing

/**
 * Keeps the state cache up to date: a watch, which the state service answers when something changes, and catch-up
 * reads, which it answers at once. Both may be under way together. Catch-up reads are at least
 * [Timing.catchUpGapMs] apart; one of them answers all that were waiting when it was sent.
 */
internal class ChangeReads(
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    /** The leader applies changes at once, since starts wait for them. */
    private val isLeading: () -> Boolean,
    private val target: Target,
) {
    interface Target {
        /** All changes up to this one have been applied. */
        val revision: Long

        /**
         * What a read of the changes since revision [from], sent at [sentAt] by the steady clock, brought. True if
         * everything that was committed before it was sent is applied now.
         */
        fun accept(
            outcome: ChangesOutcome,
            from: Long,
            sentAt: Long,
        ): Boolean
    }

    private var waiters = ArrayList<(Boolean) -> Unit>()
    private var isCatchingUp = false
    private var isWatching = false
    private var nextWatchAt = 0L
    private var nextCatchUpAt = 0L

    /** Sends what is due. Only for as long as the cache is synced. */
    fun tick(now: Long) {
        if (!isWatching && now >= nextWatchAt) watch()
        if (!isCatchingUp && waiters.isNotEmpty() && now >= nextCatchUpAt) startCatchUp()
    }

    /** [waiter] is told whether everything that was committed before this call is applied. */
    fun catchUp(waiter: (Boolean) -> Unit) {
        waiters.add(waiter)
        if (!isCatchingUp && clock.steadyMs() >= nextCatchUpAt) startCatchUp()
    }

    private fun startCatchUp() {
        val answered = waiters
        waiters = ArrayList()
        isCatchingUp = true
        val sentAt = clock.steadyMs()
        nextCatchUpAt = sentAt + timing.catchUpGapMs
        val from = target.revision
        state.changes(Keys.ROOT, from, 0) { outcome ->
            isCatchingUp = false
            val isCaughtUp = target.accept(outcome, from, sentAt)
            for (waiter in answered) waiter(isCaughtUp)
        }
    }

    private fun watch() {
        isWatching = true
        val sentAt = clock.steadyMs()
        val from = target.revision
        state.changes(Keys.ROOT, from, timing.watchTimeoutMs) { outcome ->
            isWatching = false
            val isCaughtUp = target.accept(outcome, from, sentAt)
            nextWatchAt = clock.steadyMs() + if (isCaughtUp) watchGapMs() else timing.retryMs()
        }
    }

    private fun watchGapMs(): Long = if (isLeading()) timing.watchGapMs else timing.followerWatchGapMs
}
