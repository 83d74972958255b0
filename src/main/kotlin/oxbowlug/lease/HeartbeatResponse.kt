package oxbowlug.lease

import oxbowlug.wire.FencingToken
import oxbowlug.wire.WorkerCommand

internal sealed interface HeartbeatResponse {
    data class Renewed(
        val token: FencingToken,
        val commands: List<WorkerCommand>,
    ) : HeartbeatResponse

    data class Redirect(
        val label: String?,
    ) : HeartbeatResponse

    data object Unavailable : HeartbeatResponse
}
