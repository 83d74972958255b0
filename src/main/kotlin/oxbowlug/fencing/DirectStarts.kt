package oxbowlug.fencing

import oxbowlug.wire.AttemptId
import oxbowlug.wire.FencingToken

/**
 * The starts that this leader sent to one worker in direct commands. The network may deliver a direct command minutes
 * late, and may repeat one that was executed and answered. The worker executes it each time, as long as it is in the
 * incarnation that the command names and has seen no higher fencing token. A start has no effect while the worker knows
 * the attempt, but starts it again once the worker was told to forget it.
 */
internal class DirectStarts {
    private class Command(
        val attempts: Set<AttemptId>,
        val token: FencingToken,
        val incarnation: Long,
    )

    private class Start(
        val token: FencingToken,
        val incarnation: Long,
        val isUnanswered: Boolean,
    )

    private var commandInFlight: Command? = null
    private val starts = HashMap<AttemptId, Start>()

    /** Number of starts whose command ended and that the worker may still execute, for the first time or once more. */
    val size: Int get() = starts.size

    /** A direct command that starts [attempts] is sent with [token] for [incarnation]. One is in flight at a time. */
    fun onSent(
        attempts: Collection<AttemptId>,
        token: FencingToken,
        incarnation: Long,
    ) {
        commandInFlight = Command(attempts.toSet(), token, incarnation)
    }

    /** The worker has answered that it executed the command in flight. */
    fun onExecuted() = keepStartsInFlight(isUnanswered = false)

    /** The command in flight got no answer. */
    fun onUnanswered() = keepStartsInFlight(isUnanswered = true)

    /** The command in flight was not sent, or was rejected for its token or incarnation, as each copy of it will be. */
    fun onNotExecuted() {
        commandInFlight = null
    }

    private fun keepStartsInFlight(isUnanswered: Boolean) {
        val command = commandInFlight ?: return
        for (attempt in command.attempts) {
            val wasUnanswered = starts[attempt]?.isUnanswered ?: false
            starts[attempt] = Start(command.token, command.incarnation, isUnanswered || wasUnanswered)
        }
        commandInFlight = null
    }

    /** A report shows that the worker is in [incarnation] and has seen [token]: it rejects commands of earlier ones. */
    fun onReport(
        incarnation: Long,
        token: FencingToken,
    ) {
        starts.values.removeIf { it.incarnation < incarnation || it.token < token }
    }

    /** The worker's incarnation has ended, and all direct commands were sent for it or an earlier one. */
    fun onIncarnationEnded() = starts.clear()

    /** Whether a start of [attempt] may be yet to arrive for the first time. */
    fun mayBePending(attempt: AttemptId): Boolean {
        val isInFlight = commandInFlight?.let { attempt in it.attempts } ?: false
        return isInFlight || starts[attempt]?.isUnanswered ?: false
    }

    /** The token with which a start of [attempt] was last sent, if the worker may still execute it; null if not. */
    fun tokenOf(attempt: AttemptId): FencingToken? {
        val inFlight = commandInFlight?.takeIf { attempt in it.attempts }?.token
        return inFlight ?: starts[attempt]?.token
    }
}
