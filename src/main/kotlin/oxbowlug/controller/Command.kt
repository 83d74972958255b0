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

/** What adapters put into the owner's queue. */
sealed interface Command {
    class Submit(val spec: JobSpec, val answer: (UserResponse) -> Unit) : Command

    /** A submission with a field that can't be taken, whose id may be known all the same. */
    class SubmitMalformed(val id: JobId, val problem: String, val answer: (UserResponse) -> Unit) : Command

    class Poll(val id: JobId, val answer: (UserResponse) -> Unit) : Command

    class Cancel(val id: JobId, val answer: (UserResponse) -> Unit) : Command

    class Heartbeat(val report: WorkerHeartbeat, val answer: (HeartbeatResponse) -> Unit) : Command

    class PeerHeartbeatReceived(val heartbeat: PeerHeartbeat) : Command

    class CancellationNoticeReceived(val notice: CancellationNotice) : Command

    class ImagesReceived(val images: Map<MachineId, List<ImageName>>, val isFirst: Boolean) : Command

    /** The outcome of a call that the core made. */
    class Settled(val action: () -> Unit) : Command

    data object Tick : Command
}
