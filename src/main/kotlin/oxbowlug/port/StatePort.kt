package oxbowlug.port

import oxbowlug.wire.Changes
import oxbowlug.wire.ReadPage
import oxbowlug.wire.Transaction

/** What became of a transaction. */
internal sealed interface CommitOutcome {
    /** Executed; [revision] is that of all its changes. */
    data class Applied(
        val revision: Long,
    ) : CommitOutcome

    /** Surely not executed: the conditions on the keys [failed] don't hold. */
    data class Conflict(
        val failed: List<String>,
    ) : CommitOutcome

    /** Surely not executed: 429, 503, or no connection. */
    data object Refused : CommitOutcome

    /** The lease named in it has expired. Surely not executed. */
    data object LeaseExpired : CommitOutcome

    /** Malformed to the service, or larger than it takes. Surely not executed, and never if sent again unchanged. */
    data object Invalid : CommitOutcome

    /** No answer: executed, or not, or later. */
    data object Unanswered : CommitOutcome
}

/** What became of a watch. */
internal sealed interface ChangesOutcome {
    data class Read(
        val changes: Changes,
    ) : ChangesOutcome

    /** The revision asked for is compacted: a full resync is needed. */
    data object Compacted : ChangesOutcome

    /** No answer, or a refusal. The watch may be repeated from the same revision. */
    data object Failed : ChangesOutcome
}

/** What became of the renewal of a lease. */
internal enum class LeaseRenewalOutcome {
    /** Renewed for its whole time to live, from some moment after the call was sent. */
    RENEWED,

    /** The lease has expired, and the keys bound to it are deleted. */
    EXPIRED,

    /** No answer, or a refusal: renewed, or not. */
    FAILED,
}

/**
 * The strongly consistent store of all controllers. Callbacks run on the owner's event loop; durations are in
 * milliseconds.
 */
internal interface StatePort {
    /** Executes all changes in one transaction if all its conditions hold, which compare versions of keys. */
    fun commit(
        transaction: Transaction,
        done: (CommitOutcome) -> Unit,
    )

    /**
     * The page of entries whose keys begin with [prefix] and follow [after] (null: the first), or null if it failed.
     */
    fun readPage(
        prefix: String,
        after: String?,
        done: (ReadPage?) -> Unit,
    )

    /**
     * Watches keys that begin with [prefix]: what changed after revision [from], as soon as there is any, or after
     * [waitMs].
     */
    fun changes(
        prefix: String,
        from: Long,
        waitMs: Long,
        done: (ChangesOutcome) -> Unit,
    )

    /**
     * A new lease that lives for [ttlMs] unless it is renewed; null if the call failed, and then one may exist unused.
     */
    fun grantLease(
        ttlMs: Long,
        done: (Long?) -> Unit,
    )

    /** Renews [lease]. */
    fun keepLeaseAlive(
        lease: Long,
        done: (LeaseRenewalOutcome) -> Unit,
    )

    /**
     * Ends [lease] at once and so deletes the keys bound to it. Its outcome isn't awaited: unreached, the lease
     * expires.
     */
    fun revokeLease(lease: Long)
}
