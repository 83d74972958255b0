package oxbowlug.request

import oxbowlug.cache.StateCache
import oxbowlug.config.Settings
import oxbowlug.port.Clock
import oxbowlug.port.CommitOutcome
import oxbowlug.port.Meters
import oxbowlug.port.StatePort
import oxbowlug.record.JobRecord
import oxbowlug.record.Keys
import oxbowlug.record.Phase
import oxbowlug.record.RequestIds
import oxbowlug.record.WritableFormat
import oxbowlug.timing.TokenBucket
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

/** Admits and stores jobs. Idempotent: a repeated submission of an accepted job is answered with its current state. */
internal class Submissions(
    private val requestIds: RequestIds,
    private val settings: Settings,
    private val state: StatePort,
    private val clock: Clock,
    private val cache: StateCache,
    private val budget: TokenBucket,
    private val meters: Meters,
    private val records: JobRecordChanges,
    private val responder: UserResponder,
) {
    private val concurrency = AdaptiveConcurrencyLimit()
    val inProgress: Int get() = concurrency.inProgress
    val limit: Int get() = concurrency.limit

    fun submit(
        spec: JobSpec,
        types: Map<TypeName, MachineType>,
        answer: (UserResponse) -> Unit,
    ) {
        val now = clock.steadyMs()
        if (!cache.isSynced || !responder.isStateReachable(now)) return answer(responder.stateUnavailable())
        // The job was accepted, so it isn't checked against settings and machine types that may have changed since.
        if (cache.job(spec.id) != null) return responder.answerExistingJob(spec.id, answer)
        if (cache.writableFormat == WritableFormat.NONE) {
            return answer(responder.unavailable("the data is of a newer version"))
        }
        if (types.isEmpty()) return answer(responder.unavailable("the machine types are not known yet"))
        if (!records.isStorable(newRecord(spec, "").encode())) {
            return answer(UserResponse.Malformed("${largestListField(spec)}: is larger than can be stored"))
        }
        when (val admission = Admission.check(spec, settings, types)) {
            AdmissionResult.Admitted -> Unit
            is AdmissionResult.Rejected ->
                return responder.afterCatchUp(spec.id, answer) { answer(UserResponse.Rejected(admission.problem)) }
        }
        if (spec.dependsOn.isNotEmpty()) {
            // Controllers of the previous software version would drop the job's dependencies and start it.
            if (cache.writableFormat != WritableFormat.HEAD_AND_PARTS) {
                return answer(responder.unavailable("not all controllers can take jobs that wait for others yet"))
            }
            if (predecessorProblem(spec) != null) return submitAfterCatchUp(spec, answer)
        }
        acceptIfNotOverloaded(spec, now, answer)
    }

    /** A malformed submission that repeats an accepted job is answered with the job's state instead of the problem. */
    fun submitMalformed(
        id: JobId,
        problem: String,
        answer: (UserResponse) -> Unit,
    ) {
        if (cache.job(id) != null) responder.answerExistingJob(id, answer) else answer(UserResponse.Malformed(problem))
    }

    /**
     * Another controller may have accepted a predecessor just before, so the state cache catches up before the job is
     * rejected.
     */
    private fun submitAfterCatchUp(
        spec: JobSpec,
        answer: (UserResponse) -> Unit,
    ) {
        responder.afterCatchUp(spec.id, answer) {
            val problem = predecessorProblem(spec)
            when {
                spec.dependsOn.any { cache.job(it)?.isUnreadable == true } ->
                    answer(responder.unavailable("a job that it waits for can't be read"))
                problem != null -> answer(UserResponse.Rejected(problem))
                else -> acceptIfNotOverloaded(spec, clock.steadyMs(), answer)
            }
        }
    }

    /** Returns null if all predecessors were accepted and can complete. */
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

    private fun largestListField(spec: JobSpec): String =
        if (spec.dependsOn.size > spec.types.orEmpty().size) JobSpecCodec.DEPENDS_ON else JobSpecCodec.TYPES

    private fun acceptIfNotOverloaded(
        spec: JobSpec,
        now: Long,
        answer: (UserResponse) -> Unit,
    ) {
        if (budget.available(now) < 1.0 || !concurrency.tryAcquire()) {
            return answer(responder.overloaded(inProgress, limit))
        }
        accept(spec, now, answer)
    }

    private fun newRecord(
        spec: JobSpec,
        requestId: String,
    ) = JobRecord(spec, clock.wallMs(), Phase.ACTIVE, BitSet(), 1, emptyMap(), requestId)

    private fun accept(
        spec: JobSpec,
        now: Long,
        answer: (UserResponse) -> Unit,
    ) {
        val record = newRecord(spec, requestIds.next()).encode()
        val transaction = Transaction(listOf(Condition(Keys.job(spec.id.value), 0)), records.put(spec.id, record))
        budget.take(transaction.changes.size.toDouble(), now)
        state.commit(transaction) { outcome ->
            val elapsedMs = clock.steadyMs() - now
            concurrency.release(elapsedMs, outcome is CommitOutcome.Applied)
            meters.recordCommit(elapsedMs)
            when (outcome) {
                is CommitOutcome.Applied -> answerCommitted(spec.id, answer)
                is CommitOutcome.Conflict -> responder.answerExistingJob(spec.id, answer)
                CommitOutcome.Refused -> answer(responder.unavailable("the state service is busy"))
                CommitOutcome.Invalid, CommitOutcome.LeaseExpired ->
                    answer(responder.unavailable("the state service did not take it"))
                // Only a read tells whether the commit was applied. A job that is absent may still be stored later, so
                // the user is asked to retry.
                CommitOutcome.Unanswered -> responder.answerExistingJob(spec.id, answer)
            }
        }
    }

    /** The commit's answer may have been slow, so another controller may already have confirmed a cancellation. */
    private fun answerCommitted(
        id: JobId,
        answer: (UserResponse) -> Unit,
    ) {
        val stored = cache.job(id)
        if (stored != null && stored.phase.isFinal) {
            answer(responder.currentResponse(id, stored))
        } else {
            answer(UserResponse.Accepted(JobStatus(id, JobState.QUEUED, 0, 0)))
        }
    }
}
