package oxbowlug.port

import oxbowlug.wire.Changes
import oxbowlug.wire.ReadPage
import oxbowlug.wire.Transaction

internal sealed interface CommitOutcome {
    data class Applied(
        val revision: Long,
    ) : CommitOutcome

    data class Conflict(
        val failed: List<String>,
    ) : CommitOutcome

    /** Surely not executed: 429 or 503. */
    data object Refused : CommitOutcome

    /** The lease named in it is over. Surely not executed. */
    data object LeaseOver : CommitOutcome

    /** Malformed to the service, or larger than it takes. Surely not executed, and never if sent again unchanged. */
    data object Invalid : CommitOutcome

    /** No answer: executed, or not, or later. */
    data object Unanswered : CommitOutcome
}

internal sealed interface ChangesOutcome {
    data class Read(
        val changes: Changes,
    ) : ChangesOutcome

    /** The revision asked for is too old: read everything again. */
    data object TooOld : ChangesOutcome

    data object Failed : ChangesOutcome
}

internal enum class TouchOutcome { RENEWED, OVER, FAILED }

internal interface StatePort {
    fun commit(
        transaction: Transaction,
        done: (CommitOutcome) -> Unit,
    )

    fun readPage(
        prefix: String,
        after: String?,
        done: (ReadPage?) -> Unit,
    )

    fun changes(
        prefix: String,
        from: Long,
        waitMs: Long,
        done: (ChangesOutcome) -> Unit,
    )

    fun grant(
        lifeMs: Long,
        done: (Long?) -> Unit,
    )

    fun touch(
        lease: Long,
        done: (TouchOutcome) -> Unit,
    )

    fun release(lease: Long)
}
