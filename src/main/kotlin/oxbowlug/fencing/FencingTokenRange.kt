package oxbowlug.fencing

import oxbowlug.wire.FencingToken

/**
 * The fencing tokens of one leader, from [first] to [last], all higher than those of earlier leaders. A leader begins
 * with [first]. It sends a worker a higher one to make all direct commands that it sent to this worker before invalid.
 */
internal data class FencingTokenRange(
    val first: FencingToken,
    val last: FencingToken,
) {
    operator fun contains(token: FencingToken): Boolean = token in first..last

    /** The lowest token of this leader that a worker accepts after it has seen [seen]. */
    fun lowestAcceptedAfter(seen: FencingToken): FencingToken = maxOf(first, seen)

    /** The token after [token]; null if that was the last one. */
    fun next(token: FencingToken): FencingToken? = if (token < last) FencingToken(token.value + 1) else null

    companion object {
        /** Tokens of a leader: at one a second for each worker they last longer than any leader. */
        const val SIZE = 1L shl 32

        /** The range of a leader whose predecessors used no token above [highest]. */
        fun after(highest: Long) = FencingTokenRange(FencingToken(highest + 1), FencingToken(highest + SIZE))
    }
}
