package oxbowlug.request

import org.slf4j.LoggerFactory
import oxbowlug.cache.CachedJob
import oxbowlug.cache.StateCache
import oxbowlug.config.Settings
import oxbowlug.invariant.DecisionContext
import oxbowlug.port.Clock
import oxbowlug.port.CommitOutcome
import oxbowlug.port.Meters
import oxbowlug.port.StatePort
import oxbowlug.record.JobRecord
import oxbowlug.record.Keys
import oxbowlug.record.Phase
import oxbowlug.record.RecordLayout
import oxbowlug.record.RequestIds
import oxbowlug.record.StoredForm
import oxbowlug.record.WritableFormat
import oxbowlug.timing.Timing
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.Change
import oxbowlug.wire.Condition
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobState
import oxbowlug.wire.JobStatus
import oxbowlug.wire.MachineType
import oxbowlug.wire.Transaction
import oxbowlug.wire.TypeName
import java.util.BitSet

/** Answers users. Every controller does, each with the same answers, because each first catches up with the store. */
internal class UserRequestHandler(
    private val requestIds: RequestIds,
    private val settings: Settings,
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
    private val budget: TokenBucket,
    private val meters: Meters,
    /** Told of each cancellation before its user is. */
    private val onCancelled: (JobId, Long, Map<String, Any?>) -> Unit,
    /** A user is about to be told that it is cancelled, by whoever it was. */
    private val onAnsweredCancelled: (JobId) -> Unit,
    private val decisions: DecisionContext,
) {
    private val admission = AdaptiveConcurrencyLimit()
    private val layout = RecordLayout(settings.state.lowest)
    val inProgress: Int get() = admission.inProgress
    val limit: Int get() = admission.limit

    fun submit(
        spec: JobSpec,
        types: Map<TypeName, MachineType>,
        answer: (UserResponse) -> Unit,
    ) {
        val now = clock.steadyMs()
        if (!cache.isSynced || !stateReachable(now)) return answer(unavailable("the state service is away"))
        // A repeated submission is answered whatever has changed since: it was accepted.
        if (cache.job(spec.id) != null) return answerKnown(spec.id, answer)
        if (cache.writableFormat == WritableFormat.NONE) return answer(unavailable("the data is of a newer version"))
        if (types.isEmpty()) return answer(unavailable("the machine types are not known yet"))
        val form = layout.split(newRecord(spec, "").encode())
        if (form == null) return answer(UserResponse.Malformed("${largestList(spec)}: is larger than can be stored"))
        Admission.problem(spec, settings, types)?.let { problem ->
            return rejectUnlessKnown(spec.id, answer) { problem }
        }
        if (spec.dependsOn.isNotEmpty()) {
            // Controllers of the version before would drop what it waits for, and start it.
            if (cache.writableFormat != WritableFormat.HEAD_AND_PARTS) {
                return answer(unavailable("not all controllers can take jobs that wait for others yet"))
            }
            if (predecessorProblem(spec) != null) return submitWhenKnown(spec, answer)
        }
        take(spec, now, answer)
    }

    /** Malformed, but a repeated submission of an accepted job is never told so. */
    fun submitMalformed(
        id: JobId,
        problem: String,
        answer: (UserResponse) -> Unit,
    ) {
        if (cache.job(id) != null) answerKnown(id, answer) else answer(UserResponse.Malformed(problem))
    }

    /** Another controller may have accepted what it names a moment ago, so the copy catches up before it is refused. */
    private fun submitWhenKnown(
        spec: JobSpec,
        answer: (UserResponse) -> Unit,
    ) {
        cache.catchUp { ok ->
            val problem = predecessorProblem(spec)
            when {
                !ok -> answer(unavailable("the state service is away"))
                cache.job(spec.id) != null -> answer(known(spec.id))
                spec.dependsOn.any { cache.job(it)?.isUnreadable == true } ->
                    answer(unavailable("a job that it waits for can't be read"))
                problem != null -> answer(UserResponse.Rejected(problem))
                else -> take(spec, clock.steadyMs(), answer)
            }
        }
    }

    /** Null when all the jobs that it names were accepted and can end. */
    private fun predecessorProblem(spec: JobSpec): String? {
        for (predecessor in spec.dependsOn) {
            val stored = cache.job(predecessor)
            val problem =
                when {
                    predecessor == spec.id -> "is the job itself"
                    stored == null -> "was never submitted"
                    stored.isUnreadable -> "can't be read"
                    stored.kind == JobKind.SERVICE -> "is a service, which is never done"
                    else -> continue
                }
            return "${JobSpecCodec.DEPENDS_ON}: $predecessor $problem"
        }
        return null
    }

    /** Never told of a job that another controller accepted, perhaps under older types. */
    private fun rejectUnlessKnown(
        id: JobId,
        answer: (UserResponse) -> Unit,
        problem: () -> String,
    ) {
        cache.catchUp { ok ->
            when {
                !ok -> answer(unavailable("the state service is away"))
                cache.job(id) != null -> answer(known(id))
                else -> answer(UserResponse.Rejected(problem()))
            }
        }
    }

    private fun largestList(spec: JobSpec): String =
        if (spec.dependsOn.size > spec.types.orEmpty().size) JobSpecCodec.DEPENDS_ON else JobSpecCodec.TYPES

    private fun take(
        spec: JobSpec,
        now: Long,
        answer: (UserResponse) -> Unit,
    ) {
        if (budget.available(now) < 1.0 || !admission.tryEnter()) {
            log.debug("too many submissions: {} in progress of {}", inProgress, limit)
            meters.refused("overload")
            return answer(UserResponse.Overloaded(RETRY_AFTER_S))
        }
        accept(spec, now, answer)
    }

    private fun newRecord(
        spec: JobSpec,
        write: String,
    ) = JobRecord(spec, clock.wallMs(), Phase.ACTIVE, BitSet(), 1, emptyMap(), write)

    private fun accept(
        spec: JobSpec,
        now: Long,
        answer: (UserResponse) -> Unit,
    ) {
        val record = newRecord(spec, requestIds.next()).encode()
        val transaction = Transaction(listOf(Condition(Keys.job(spec.id.value), 0)), changes(spec.id, record))
        budget.take(transaction.changes.size.toDouble(), now)
        state.commit(transaction) { outcome ->
            val tookMs = clock.steadyMs() - now
            admission.leave(tookMs, outcome is CommitOutcome.Applied)
            meters.committed(tookMs)
            when (outcome) {
                is CommitOutcome.Applied -> answerAccepted(spec.id, answer)
                is CommitOutcome.Conflict -> answerKnown(spec.id, answer)
                CommitOutcome.Refused -> answer(unavailable("the state service is busy"))
                CommitOutcome.Invalid, CommitOutcome.LeaseOver ->
                    answer(unavailable("the state service did not take it"))
                // Settled by reading, never guessed; if it isn't there it may still come, and the user asks again.
                CommitOutcome.Unanswered -> answerKnown(spec.id, answer)
            }
        }
    }

    private fun changes(
        id: JobId,
        record: Map<String, Any?>,
    ): List<Change> {
        val whole = StoredForm(record, emptyList())
        val isDivided = cache.writableFormat == WritableFormat.HEAD_AND_PARTS
        val form = if (isDivided) layout.split(record) ?: whole else whole
        return listOf(Change.Put(Keys.job(id.value), form.head)) +
            form.parts.mapIndexed { index, part -> Change.Put(Keys.part(id.value, index), part) }
    }

    /** Its answer may have been slow, and another controller may have confirmed the job's cancellation meanwhile. */
    private fun answerAccepted(
        id: JobId,
        answer: (UserResponse) -> Unit,
    ) {
        val stored = cache.job(id)
        if (stored != null && stored.phase.isFinal) {
            answer(known(id, stored))
        } else {
            answer(UserResponse.Accepted(JobStatus(id, JobState.QUEUED, 0, 0)))
        }
    }

    private fun answerKnown(
        id: JobId,
        answer: (UserResponse) -> Unit,
    ) {
        val stored = cache.job(id)
        if (stored != null && stored.phase.isFinal) return answer(known(id, stored))
        cache.catchUp { ok ->
            if (ok && cache.job(id) != null) {
                answer(known(id))
            } else {
                answer(unavailable("the state service is away"))
            }
        }
    }

    fun poll(
        id: JobId,
        answer: (UserResponse) -> Unit,
    ) {
        val stored = cache.job(id)
        if (stored != null && stored.phase.isFinal) return answer(known(id, stored))
        cache.catchUp { ok ->
            when {
                !ok -> answer(unavailable("the state service is away"))
                cache.job(id) != null -> answer(known(id))
                else -> answer(UserResponse.NotFound)
            }
        }
    }

    fun cancel(
        id: JobId,
        answer: (UserResponse) -> Unit,
    ) {
        // Final is final: that can be told also while the state service is away.
        val stored = cache.job(id)
        if (stored != null && stored.phase.isFinal) {
            answer(known(id, stored))
        } else {
            cancel(id, CANCEL_TRIES, answer)
        }
    }

    /** The cancellation is committed first and answered next; only then does the leader act on it. */
    private fun cancel(
        id: JobId,
        triesLeft: Int,
        answer: (UserResponse) -> Unit,
    ) {
        cache.catchUp { ok ->
            val stored = cache.job(id)
            val value = stored?.value
            when {
                !ok -> answer(unavailable("the state service is away"))
                stored == null -> answer(UserResponse.NotFound)
                stored.phase.isFinal || stored.isUnreadable || value == null -> answer(known(id, stored))
                cache.writableFormat == WritableFormat.NONE -> answer(unavailable("the data is of a newer version"))
                triesLeft == 0 -> answer(unavailable("the job keeps changing"))
                else -> commitCancel(id, stored, value, triesLeft, answer)
            }
        }
    }

    private fun commitCancel(
        id: JobId,
        stored: CachedJob,
        value: Map<String, Any?>,
        triesLeft: Int,
        answer: (UserResponse) -> Unit,
    ) {
        val key = Keys.job(id.value)
        // All but the phase stays as the leader wrote it, so the leader knows its own record under the change.
        val cancelled = LinkedHashMap(value)
        cancelled["phase"] = Phase.CANCELLED.wire
        cancelled[JobRecord.CANCELLED_AT] = clock.wallMs()
        // Its parts stay as they are; a record that was written whole by the version before is divided if need be.
        val changes =
            if (RecordLayout.partCount(value) > 0) {
                listOf(Change.Put(key, layout.headAlone(cancelled)))
            } else {
                changes(id, cancelled)
            }
        val transaction = Transaction(listOf(Condition(key, stored.version)), changes)
        budget.take(changes.size.toDouble(), clock.steadyMs())
        state.commit(transaction) { outcome ->
            when (outcome) {
                is CommitOutcome.Applied -> {
                    // The changes are known by their own revision, and so is the number of parts.
                    val parts = changes.size - 1
                    if (parts > 0) cancelled[RecordLayout.PARTS] = parts.toLong()
                    log.info("{} is cancelled at {}: {}", id, outcome.revision, decisions.describe())
                    onCancelled(id, outcome.revision, cancelled)
                    answer(UserResponse.Known(JobStatus(id, JobState.CANCELLED, stored.done, 0)))
                }
                is CommitOutcome.Conflict, CommitOutcome.Unanswered -> cancel(id, triesLeft - 1, answer)
                CommitOutcome.Refused, CommitOutcome.Invalid, CommitOutcome.LeaseOver ->
                    answer(unavailable("the state service is busy"))
            }
        }
    }

    private fun known(id: JobId): UserResponse = known(id, cache.job(id) ?: error("$id was just there"))

    private fun known(
        id: JobId,
        stored: CachedJob,
    ): UserResponse {
        if (stored.isUnreadable) return unavailable("the job's record can't be read")
        if (stored.phase == Phase.CANCELLED) onAnsweredCancelled(id)
        return UserResponse.Known(stored.status(id))
    }

    private fun stateReachable(now: Long): Boolean = now - cache.lastContactMs < timing.stateUnreachableMs

    private fun unavailable(why: String): UserResponse {
        log.debug("refused: {}", why)
        meters.refused(why)
        return UserResponse.Unavailable(RETRY_AFTER_S, why)
    }

    private companion object {
        val log = LoggerFactory.getLogger("requests")
        const val RETRY_AFTER_S = 1
        const val CANCEL_TRIES = 5
    }
}
