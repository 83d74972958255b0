package oxbowlug.lease

import oxbowlug.wire.FencingToken
import oxbowlug.wire.WorkerCommand

/** What a worker's heartbeat is answered. */
internal sealed interface HeartbeatResponse {
    /** Renews the worker's lease under [token], and carries what it has to do. */
    data class Renewed(
        val token: FencingToken,
        val commands: List<WorkerCommand>,
    ) : HeartbeatResponse

    /** Another controller answers this worker: the one called [label], or null if it isn't known. */
    data class Redirect(
        val label: String?,
    ) : HeartbeatResponse

    /** Nobody can be named now: the worker has to try again, also elsewhere. Its lease runs on. */
    data object Unavailable : HeartbeatResponse
}
