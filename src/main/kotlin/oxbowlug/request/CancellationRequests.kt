package oxbowlug.request

import org.slf4j.LoggerFactory
import oxbowlug.cache.CachedJob
import oxbowlug.cache.StateCache
import oxbowlug.invariant.DecisionContext
import oxbowlug.port.CancellationListener
import oxbowlug.port.Clock
import oxbowlug.port.CommitOutcome
import oxbowlug.port.StatePort
import oxbowlug.record.JobFields
import oxbowlug.record.JobRecord
import oxbowlug.record.Keys
import oxbowlug.record.Phase
import oxbowlug.record.RecordLayout
import oxbowlug.record.WritableFormat
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.Condition
import oxbowlug.wire.JobId
import oxbowlug.wire.JobState
import oxbowlug.wire.JobStatus
import oxbowlug.wire.Transaction

/** Cancels jobs by compare-and-swap on their records. Idempotent: a job in a final phase is answered with its state. */
internal class CancellationRequests(
    private val state: StatePort,
    private val clock: Clock,
    private val cache: StateCache,
    private val budget: TokenBucket,
    private val records: JobRecordChanges,
    private val responder: UserResponder,
    private val cancellations: CancellationListener,
    private val decisions: DecisionContext,
) {
    fun cancel(
        id: JobId,
        answer: (UserResponse) -> Unit,
    ) {
        // A final phase never changes, so it can be answered even while the state service is unreachable.
        val stored = cache.job(id)
        if (stored != null && stored.phase.isFinal) {
            answer(responder.currentResponse(id, stored))
        } else {
            cancel(id, MAX_COMMIT_ATTEMPTS, answer)
        }
    }

    /** Commits the cancellation; only after that is the user answered, and only then does the leader act on it. */
    private fun cancel(
        id: JobId,
        attemptsLeft: Int,
        answer: (UserResponse) -> Unit,
    ) {
        cache.catchUp { ok ->
            val stored = cache.job(id)
            val value = stored?.value
            when {
                !ok -> answer(responder.stateUnavailable())
                stored == null -> answer(UserResponse.NotFound)
                stored.phase.isFinal || stored.isUnreadable || value == null ->
                    answer(responder.currentResponse(id, stored))
                cache.writableFormat == WritableFormat.NONE ->
                    answer(responder.unavailable("the data is of a newer version"))
                attemptsLeft == 0 -> answer(responder.unavailable("the job keeps changing"))
                else -> commit(id, stored, value, attemptsLeft, answer)
            }
        }
    }

    private fun commit(
        id: JobId,
        stored: CachedJob,
        value: Map<String, Any?>,
        attemptsLeft: Int,
        answer: (UserResponse) -> Unit,
    ) {
        // Everything but the phase and its time stays, also the id of the leader's write: by that id the leader
        // recognizes its own record with a cancellation on top.
        val cancelled = LinkedHashMap(value)
        cancelled[JobFields.PHASE] = Phase.CANCELLED.wire
        cancelled[JobRecord.CANCELLED_AT] = clock.wallMs()
        val changes = records.replace(id, value, cancelled)
        val transaction = Transaction(listOf(Condition(Keys.job(id.value), stored.version)), changes)
        budget.take(changes.size.toDouble(), clock.steadyMs())
        state.commit(transaction) { outcome ->
            when (outcome) {
                is CommitOutcome.Applied -> {
                    // The record must match what is stored at this revision, with the number of parts written there.
                    val parts = changes.size - 1
                    if (parts > 0) cancelled[RecordLayout.PARTS] = parts.toLong()
                    log.info("job cancelled: job={} revision={} {}", id, outcome.revision, decisions.describe())
                    cancellations.onCancellationCommitted(id, outcome.revision, cancelled)
                    answer(UserResponse.Known(JobStatus(id, JobState.CANCELLED, stored.done, 0)))
                }
                is CommitOutcome.Conflict, CommitOutcome.Unanswered -> cancel(id, attemptsLeft - 1, answer)
                CommitOutcome.Refused, CommitOutcome.Invalid, CommitOutcome.LeaseExpired ->
                    answer(responder.unavailable("the state service is busy"))
            }
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("request")
        const val MAX_COMMIT_ATTEMPTS = 5
    }
}
