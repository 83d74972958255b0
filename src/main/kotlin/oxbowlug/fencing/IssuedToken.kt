package oxbowlug.fencing

import oxbowlug.wire.FencingToken

/** The fencing token of answers and commands to one worker. It begins at [first], and never falls within a term. */
internal class IssuedToken(
    first: FencingToken,
) {
    var value = first
        private set

    /** How often it has risen within this term. */
    var advances = 0L
        private set

    /** From when it may rise to let the worker forget attempts, in ms of the leader's steady clock. */
    var nextAdvanceAt = Long.MIN_VALUE
        private set

    /** Notes that [token] is sent to the worker, or was shown by it. A higher one than before delays the next one. */
    fun raiseTo(
        token: FencingToken,
        now: Long,
        intervalMs: Long,
    ) {
        if (token <= value) return
        value = token
        advances++
        nextAdvanceAt = now + intervalMs
    }
}
