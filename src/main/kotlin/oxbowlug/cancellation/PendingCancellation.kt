package oxbowlug.cancellation

import org.slf4j.LoggerFactory
import oxbowlug.port.Cancellation
import oxbowlug.record.JobRecord
import oxbowlug.record.Member
import oxbowlug.wire.AttemptId
import oxbowlug.wire.MachineId
import oxbowlug.wire.TaskId

/** A cancelled job whose attempts may still be there. Times are milliseconds of the steady clock here. */
internal class PendingCancellation(
    var cancellation: Cancellation,
    var isConfirmedHere: Boolean,
    /** When it became known here. */
    val observedAt: Long,
    /** When it was committed at the earliest, so that all controllers count from the same moment. */
    val confirmedAt: Long,
) {
    /** The incarnations of controllers that have acknowledged it. */
    val acknowledged = HashSet<Member>()

    /** The record that was cancelled names every machine on which an attempt can be, or can still arrive. */
    val attempts: Map<MachineId, Set<AttemptId>>
        get() = decoded?.takeIf { decodedVersion == cancellation.version } ?: decode()
    private var decoded: Map<MachineId, Set<AttemptId>>? = null
    private var decodedVersion = 0L

    private fun decode(): Map<MachineId, Set<AttemptId>> {
        val result = HashMap<MachineId, HashSet<AttemptId>>()
        for ((task, placement) in JobRecord.decode(cancellation.value).placements) {
            result
                .getOrPut(placement.machine, ::HashSet)
                .add(AttemptId(TaskId(cancellation.id, task), placement.attempt))
        }
        decoded = result
        decodedVersion = cancellation.version
        return result
    }

    /** The leader has proven it. */
    var isTerminationProven = false
        private set

    /** From here on nobody probes workers or releases machines for it, so the log says who proved it. */
    fun markTerminated(by: Member) {
        if (!isTerminationProven) {
            log.info(
                "cancelled attempts proven terminated: job={} revision={} peer={}",
                cancellation.id,
                cancellation.version,
                by.label,
            )
        }
        isTerminationProven = true
    }

    private companion object {
        val log = LoggerFactory.getLogger("cancellation")
    }
}
