package oxbowlug.cancellation

import org.slf4j.LoggerFactory
import oxbowlug.port.Cancellation
import oxbowlug.record.JobRecord
import oxbowlug.record.Member
import oxbowlug.wire.AttemptId
import oxbowlug.wire.MachineId
import oxbowlug.wire.TaskId

/** A cancelled job whose attempts may still exist. Times are milliseconds of this controller's steady clock. */
internal class PendingCancellation(
    var cancellation: Cancellation,
    /** Whether this controller has confirmed the cancellation to a user, or is about to. */
    var isConfirmedHere: Boolean,
    /** When this controller learned of the cancellation. */
    val observedAt: Long,
    /** The earliest possible time of the commit, so that all controllers count from the same moment. */
    val confirmedAt: Long,
) {
    /** The controller incarnations that have acknowledged the cancellation. */
    val acknowledged = HashSet<Member>()

    /** By machine. The cancelled record names every machine on which an attempt may be, or may still be started. */
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

    /** Whether the leader has proven that all attempts are terminated. */
    var isTerminationProven = false
        private set

    /** Ends enforcement of the cancellation here, so the log records which controller proved termination. */
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
