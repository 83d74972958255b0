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

/** What adapters put into the controller's queue; each [answer] is called once, on the event loop. */
internal sealed interface ControllerEvent {
    class Submit(
        val spec: JobSpec,
        val answer: (UserResponse) -> Unit,
    ) : ControllerEvent

    /** A submission with a field that can't be taken, whose id may be known all the same. */
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

    class ImagesReceived(
        val images: Map<MachineId, List<ImageName>>,
        val isFirst: Boolean,
    ) : ControllerEvent

    /** The outcome of a call that the controller made. */
    class CallCompleted(
        val action: () -> Unit,
    ) : ControllerEvent

    data object Tick : ControllerEvent
}
