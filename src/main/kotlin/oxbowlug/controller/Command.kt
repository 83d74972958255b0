package oxbowlug.controller

import oxbowlug.lease.ReportAnswer
import oxbowlug.port.CancellationNotice
import oxbowlug.port.PeerHeartbeat
import oxbowlug.request.UserAnswer
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineId
import oxbowlug.wire.WorkerReport

/** What adapters put into the owner's queue. */
sealed interface Command {
    class Submit(val spec: JobSpec, val answer: (UserAnswer) -> Unit) : Command

    /** A submission with a field that can't be taken, whose id may be known all the same. */
    class SubmitMalformed(val id: JobId, val problem: String, val answer: (UserAnswer) -> Unit) : Command

    class Poll(val id: JobId, val answer: (UserAnswer) -> Unit) : Command

    class Cancel(val id: JobId, val answer: (UserAnswer) -> Unit) : Command

    class Report(val report: WorkerReport, val answer: (ReportAnswer) -> Unit) : Command

    class PeerHeartbeatReceived(val heartbeat: PeerHeartbeat) : Command

    class CancellationNoticeReceived(val word: CancellationNotice) : Command

    class HeardImages(val images: Map<MachineId, List<ImageName>>, val isFirst: Boolean) : Command

    /** The outcome of a call that the core made. */
    class Settled(val action: () -> Unit) : Command

    data object Tick : Command
}
