package oxbowlug.fencing

import oxbowlug.wire.FencingToken
import oxbowlug.wire.WorkerCommand

/** Commands for one worker, and the fencing [token] with which they are sent. */
internal data class CommandBatch(
    val token: FencingToken,
    val commands: List<WorkerCommand>,
)
