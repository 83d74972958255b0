package oxbowlug.lease

import oxbowlug.wire.Token
import oxbowlug.wire.WorkerCommand

sealed interface HeartbeatResponse {
    data class Renewed(val token: Token, val commands: List<WorkerCommand>) : HeartbeatResponse

    data class Redirect(val label: String?) : HeartbeatResponse

    data object Unavailable : HeartbeatResponse
}
