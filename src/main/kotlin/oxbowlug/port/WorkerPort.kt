package oxbowlug.port

import oxbowlug.config.Address
import oxbowlug.wire.FencingToken
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat

internal sealed interface DirectOutcome {
    /** Executed, or refused for its token or incarnation: either way the report is the worker's present account. */
    data class Answered(
        val heartbeat: WorkerHeartbeat,
        val executed: Boolean,
    ) : DirectOutcome

    /** The connection could not be opened: surely not executed, now or later. */
    data object NotSent : DirectOutcome

    /** Sent, but not answered: it may be executed minutes later. */
    data object Unanswered : DirectOutcome
}

internal interface WorkerPort {
    /** What the worker says of itself, or null. */
    fun status(
        endpoint: Address,
        done: (WorkerHeartbeat?) -> Unit,
    )

    fun command(
        endpoint: Address,
        token: FencingToken,
        incarnation: Long,
        commands: List<WorkerCommand>,
        done: (DirectOutcome) -> Unit,
    )
}
