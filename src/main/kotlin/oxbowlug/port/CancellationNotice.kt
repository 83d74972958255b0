package oxbowlug.port

import oxbowlug.record.Member
import oxbowlug.wire.JobId

/** A cancellation as it was committed: the job's whole record, and the revision of that write. */
internal class Cancellation(
    val id: JobId,
    val version: Long,
    val value: Map<String, Any?>,
)

/** The sender knows the job to be cancelled; and, if it leads, whether the job's attempts are proven terminated. */
internal data class CancellationAcknowledgement(
    val id: JobId,
    val isTerminationProven: Boolean,
)

/** What controllers send to one another about cancellations. Facts of the state service, so valid in every epoch. */
internal sealed interface CancellationNotice {
    val sender: Member

    class Cancelled(
        override val sender: Member,
        val cancellation: Cancellation,
    ) : CancellationNotice

    data class Acknowledged(
        override val sender: Member,
        val items: List<CancellationAcknowledgement>,
    ) : CancellationNotice
}
