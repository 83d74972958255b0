package oxbowlug.lease

import oxbowlug.wire.FencingToken
import oxbowlug.wire.WorkerCommand

/** A controller's response to a worker's heartbeat. */
internal sealed interface HeartbeatResponse {
    /** Renews the worker's lease under [token] and carries the commands for the worker to execute. */
    data class Renewed(
        val token: FencingToken,
        val commands: List<WorkerCommand>,
    ) : HeartbeatResponse

    /**
     * Another controller renews this worker's lease: the worker sends its heartbeats to the controller [label] instead.
     * [label] is null if no controller may renew the lease, because the machine was removed or its incarnation ended.
     */
    data class Redirect(
        val label: String?,
    ) : HeartbeatResponse

    /**
     * This controller neither renews the lease nor knows which controller does. The worker tries the other controllers;
     * its lease keeps running until it expires.
     */
    data object Unavailable : HeartbeatResponse
}
