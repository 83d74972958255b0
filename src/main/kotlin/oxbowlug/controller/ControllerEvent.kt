package oxbowlug.controller

import oxbowlug.lease.HeartbeatResponse
import oxbowlug.port.CancellationNotice
import oxbowlug.port.PeerHeartbeat
import oxbowlug.request.UserResponse
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineId
import oxbowlug.wire.WorkerHeartbeat

/** An event that an adapter puts into the controller's queue. Its `answer` is called once, on the event loop. */
internal sealed interface ControllerEvent {
    class Submit(
        val spec: JobSpec,
        val answer: (UserResponse) -> Unit,
    ) : ControllerEvent

    /** A submission with an invalid field; its id may still be that of an accepted job. */
    class SubmitMalformed(
        val id: JobId,
        val problem: String,
        val answer: (UserResponse) -> Unit,
    ) : ControllerEvent

    class Poll(
        val id: JobId,
        val answer: (UserResponse) -> Unit,
    ) : ControllerEvent

    class Cancel(
        val id: JobId,
        val answer: (UserResponse) -> Unit,
    ) : ControllerEvent

    class Heartbeat(
        val heartbeat: WorkerHeartbeat,
        val answer: (HeartbeatResponse) -> Unit,
    ) : ControllerEvent

    class PeerHeartbeatReceived(
        val heartbeat: PeerHeartbeat,
    ) : ControllerEvent

    class CancellationNoticeReceived(
        val notice: CancellationNotice,
    ) : ControllerEvent

    /** A part of the leader's images by machine; the first part replaces all that were received before. */
    class ImagesReceived(
        val images: Map<MachineId, List<ImageName>>,
        val isFirst: Boolean,
    ) : ControllerEvent

    /** The outcome of a call through one of the controller's ports, which [action] handles. */
    class CallCompleted(
        val action: () -> Unit,
    ) : ControllerEvent

    data object Tick : ControllerEvent
}
