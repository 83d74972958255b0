package oxbowlug.port

import oxbowlug.record.Member
import oxbowlug.wire.JobId

/**
 * A committed cancellation: [value] is the job's whole record, [version] the state service's revision of that write.
 */
internal class Cancellation(
    val id: JobId,
    val version: Long,
    val value: Map<String, Any?>,
)

/**
 * Confirms that the sender has recorded the cancellation of the job [id]. If the sender is the leader,
 * [isTerminationProven] says whether all attempts of the job are proven to have terminated.
 */
internal data class CancellationAcknowledgement(
    val id: JobId,
    val isTerminationProven: Boolean,
)

/**
 * Messages between controllers about cancelled jobs. A cancellation is committed in the state service and final, so a
 * notice is valid regardless of the epoch.
 */
internal sealed interface CancellationNotice {
    val sender: Member

    /** Announces a committed cancellation. */
    class Cancelled(
        override val sender: Member,
        val cancellation: Cancellation,
    ) : CancellationNotice

    /** Acknowledges cancellations that the sender received. */
    data class Acknowledged(
        override val sender: Member,
        val items: List<CancellationAcknowledgement>,
    ) : CancellationNotice
}
