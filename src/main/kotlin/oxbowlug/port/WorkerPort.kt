package oxbowlug.port

import oxbowlug.config.Address
import oxbowlug.wire.FencingToken
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat

/** What became of a direct command to a worker. */
internal sealed interface CommandOutcome {
    /** Executed, or refused for its token or incarnation: either way the heartbeat is the worker's present account. */
    data class Answered(
        val heartbeat: WorkerHeartbeat,
        val executed: Boolean,
    ) : CommandOutcome

    /** The connection could not be opened: surely not executed, now or later. */
    data object NotSent : CommandOutcome

    /** Sent, but not answered: it may be executed minutes later. */
    data object Unanswered : CommandOutcome
}

/** Calls straight to a worker, instead of in an answer to its heartbeat. Callbacks run on the owner's event loop. */
internal interface WorkerPort {
    /** The worker's own account, or null when it gave none in time. Renews no lease. */
    fun status(
        endpoint: Address,
        done: (WorkerHeartbeat?) -> Unit,
    )

    /**
     * Commands under [token], which the worker refuses when it knows a newer one or is in another [incarnation]. Renews
     * no lease.
     */
    fun command(
        endpoint: Address,
        token: FencingToken,
        incarnation: Long,
        commands: List<WorkerCommand>,
        done: (CommandOutcome) -> Unit,
    )
}
