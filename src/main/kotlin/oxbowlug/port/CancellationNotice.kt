package oxbowlug.port

import oxbowlug.record.Member
import oxbowlug.wire.JobId

/** A cancellation as it was committed: the job's whole record, and the revision of that write. */
internal class Cancellation(
    val id: JobId,
    val version: Long,
    val value: Map<String, Any?>,
)

/** That the sender knows the job to be cancelled; and, said by whoever leads, whether its attempts are proven gone. */
internal data class Acknowledgement(
    val id: JobId,
    val isTerminationProven: Boolean,
)

/** What controllers say to one another about cancellations. Facts of the state service, so of no epoch. */
internal sealed interface CancellationNotice {
    val sender: Member

    class Cancelled(
        override val sender: Member,
        val cancellation: Cancellation,
    ) : CancellationNotice

    data class Acknowledged(
        override val sender: Member,
        val items: List<Acknowledgement>,
    ) : CancellationNotice
}
