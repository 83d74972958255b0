package oxbowlug.port

import oxbowlug.config.Address
import oxbowlug.wire.FencingToken
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat

/** The outcome of a direct call with commands to a worker. */
internal sealed interface CommandOutcome {
    /**
     * The worker answered with its current status in [heartbeat]. [executed] is false if it rejected the commands
     * because of their fencing token or incarnation.
     */
    data class Answered(
        val heartbeat: WorkerHeartbeat,
        val executed: Boolean,
    ) : CommandOutcome

    /** No connection could be opened: the commands were not sent and will never be executed. */
    data object NotSent : CommandOutcome

    /** Sent, but no usable answer: the commands may have been executed, or may still be executed minutes later. */
    data object Unanswered : CommandOutcome
}

/**
 * Calls to a worker's own endpoint, besides the answers to its heartbeats. Callbacks run on the event loop that owns
 * the controller's state.
 */
internal interface WorkerPort {
    /** Reads the worker's current status. [done] gets null if there was no usable answer in time. Renews no lease. */
    fun status(
        endpoint: Address,
        done: (WorkerHeartbeat?) -> Unit,
    )

    /**
     * Sends [commands] under the fencing [token]. The worker rejects them if it has seen a newer token or is not in
     * this [incarnation]. Renews no lease.
     */
    fun command(
        endpoint: Address,
        token: FencingToken,
        incarnation: Long,
        commands: List<WorkerCommand>,
        done: (CommandOutcome) -> Unit,
    )
}
