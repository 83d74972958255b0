package oxbowlug.port

import oxbowlug.wire.Changes
import oxbowlug.wire.ReadPage
import oxbowlug.wire.Transaction

/**
 * The outcome of a transaction. After any other outcome than [Applied] and [Unanswered] it is certain that the
 * transaction was not executed and will not be.
 */
internal sealed interface CommitOutcome {
    /** Executed. All changes of the transaction have this [revision]. */
    data class Applied(
        val revision: Long,
    ) : CommitOutcome

    /** The conditions on the keys [failed] don't hold. */
    data class Conflict(
        val failed: List<String>,
    ) : CommitOutcome

    /** The service answered 429 or 503, or no connection could be opened. */
    data object Refused : CommitOutcome

    /** A lease that the transaction binds a key to has expired. */
    data object LeaseExpired : CommitOutcome

    /** The service rejected the transaction as malformed or too large. Retrying it unchanged fails again. */
    data object Invalid : CommitOutcome

    /** No usable answer: the transaction may have been executed, or may still be executed later. */
    data object Unanswered : CommitOutcome
}

/** The outcome of a watch or of a read of changes. */
internal sealed interface ChangesOutcome {
    /** The changes after the requested revision; none if the wait time passed without one. */
    data class Read(
        val changes: Changes,
    ) : ChangesOutcome

    /** The service has compacted its history beyond the requested revision: a full resync is needed. */
    data object Compacted : ChangesOutcome

    /** No usable answer, or an error. The call may be retried from the same revision. */
    data object Failed : ChangesOutcome
}

/** The outcome of a lease renewal. */
internal enum class LeaseRenewalOutcome {
    /** Renewed for its full TTL, which starts at some time after the call was sent. */
    RENEWED,

    /** The lease has expired, and the service has deleted the keys bound to it. */
    EXPIRED,

    /** No answer, or an error: the lease may or may not be renewed. */
    FAILED,
}

/**
 * The state service: the strongly consistent key-value store that all controllers share. Callbacks run on the event
 * loop that owns the controller's state; durations are in milliseconds.
 */
internal interface StatePort {
    /** Applies all changes of [transaction] atomically if all its conditions on the versions of keys hold. */
    fun commit(
        transaction: Transaction,
        done: (CommitOutcome) -> Unit,
    )

    /**
     * Reads the page of entries whose keys begin with [prefix] and follow [after], or the first page if [after] is
     * null. [done] gets null if the call failed.
     */
    fun readPage(
        prefix: String,
        after: String?,
        done: (ReadPage?) -> Unit,
    )

    /**
     * Watches keys that begin with [prefix]. The service answers with the changes after revision [from] as soon as
     * there are any, and after [waitMs] without any; 0 makes it answer at once.
     */
    fun changes(
        prefix: String,
        from: Long,
        waitMs: Long,
        done: (ChangesOutcome) -> Unit,
    )

    /**
     * Creates a lease that expires after [ttlMs] unless it is renewed. [done] gets the lease's id, or null if the call
     * failed; then an unused lease may exist until it expires.
     */
    fun grantLease(
        ttlMs: Long,
        done: (Long?) -> Unit,
    )

    /** Renews [lease] for its full TTL. */
    fun keepLeaseAlive(
        lease: Long,
        done: (LeaseRenewalOutcome) -> Unit,
    )

    /**
     * Ends [lease] at once, which deletes the keys bound to it. The outcome isn't reported: if the call fails, the
     * lease expires after its TTL.
     */
    fun revokeLease(lease: Long)
}
