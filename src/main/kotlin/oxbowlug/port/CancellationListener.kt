package oxbowlug.port

import oxbowlug.wire.JobId

/**
 * Notified of a cancellation before the user gets the answer. Both functions are called on the event loop that owns the
 * controller's state, right before the answer is sent: in the reverse order, a crash of the process between the answer
 * and the call would lose a confirmed cancellation.
 */
internal interface CancellationListener {
    /**
     * This controller committed the cancellation of [id] at [revision]; [record] is the job's whole record as of that
     * revision.
     */
    fun onCancellationCommitted(
        id: JobId,
        revision: Long,
        record: Map<String, Any?>,
    )

    /** The answer that [id] is cancelled is about to be sent to a user; any controller may have cancelled the job. */
    fun onCancellationAnswered(id: JobId)
}
