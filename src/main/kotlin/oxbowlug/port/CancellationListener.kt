package oxbowlug.port

import oxbowlug.wire.JobId

/**
 * What has to be known of a cancellation before its user is answered. Both are called on the owner's event loop, right
 * before the answer: a crash of the process between the answer and the call would lose the cancellation.
 */
internal interface CancellationListener {
    /** This controller committed the cancellation of [id] at [revision]; [record] is the job's whole record by then. */
    fun onCancellationCommitted(
        id: JobId,
        revision: Long,
        record: Map<String, Any?>,
    )

    /** A user is about to be answered that [id] is cancelled, whichever controller cancelled it. */
    fun onCancellationAnswered(id: JobId)
}
