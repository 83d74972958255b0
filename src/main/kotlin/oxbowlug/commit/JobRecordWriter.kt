package oxbowlug.commit

import org.slf4j.LoggerFactory
import oxbowlug.cache.StateCache
import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Job
import oxbowlug.config.Settings
import oxbowlug.invariant.DecisionContext
import oxbowlug.port.Clock
import oxbowlug.port.CommitOutcome
import oxbowlug.port.StatePort
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Phase
import oxbowlug.record.RequestIds
import oxbowlug.record.WritableFormat
import oxbowlug.timing.Timing
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.Condition
import oxbowlug.wire.Transaction

/**
 * Writes changed job records for the leader, urgent ones first. Each transaction also compares the revision of the
 * leadership record, so a delayed transaction of an earlier leader can't apply. Writes that aren't urgent are deferred
 * for a short time, so that several task ends of one job are stored by one write.
 */
internal class JobRecordWriter(
    private val leadership: LeadershipRecord,
    requestIds: RequestIds,
    settings: Settings,
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val budget: TokenBucket,
    private val cache: StateCache,
    private val cluster: ClusterState,
    private val decisions: DecisionContext,
) {
    private val preparer = WritePreparer(requestIds, settings, cache)
    private var inFlight = 0
    private var nextWriteAt = 0L

    /** Whether the leadership record has been changed by another controller, which now leads. */
    var isDeposed = false
        private set

    /** Number of jobs with changes that no write in flight contains. */
    val backlog: Int get() = cluster.dirtyJobs.size

    /** Sends the writes that are due, within the write rate and the limit on transactions in flight. */
    fun flush() {
        val now = clock.steadyMs()
        while (!isDeposed && inFlight < MAX_IN_FLIGHT && now >= nextWriteAt) {
            val batch = nextBatch(now)
            if (batch.isEmpty()) return
            send(batch, now)
        }
    }

    private fun nextBatch(now: Long): List<PreparedWrite> {
        if (cluster.dirtyJobs.isEmpty() || cache.writableFormat == WritableFormat.NONE) return emptyList()
        val limits = preparer.limits()
        val tokens = budget.available(now)
        if (tokens < 1.0) return emptyList()
        val spareTokens = budget.spare(now)
        val batch = WriteBatch(limits.txnOps)
        for (job in dueJobs(spareTokens, now)) {
            if (!batch.isEmpty && job.isWrittenAlone) continue
            val prepared = preparer.prepare(job, limits)
            if (prepared == null) {
                withdrawUncommitted(job, now)
                continue
            }
            val allowedTokens = if (job.isUrgent || isOverdue(job, now)) tokens else spareTokens
            if (!batch.add(prepared, affordableChanges(prepared, allowedTokens, now))) break
            if (batch.isFull || job.isWrittenAlone) break
        }
        return batch.writes
    }

    /** The jobs whose write is due: urgent ones first, then by priority. */
    private fun dueJobs(
        spareTokens: Double,
        now: Long,
    ): List<Job> =
        cluster.dirtyJobs
            .filter { job ->
                !job.isWriting && now >= job.writeNotBefore && (job.isUrgent || isDeferredDue(job, spareTokens, now))
            }.sortedWith(compareBy<Job> { !it.isUrgent }.thenBy { it.priority })

    /**
     * How many changes the batch may have after [prepared] is added. All changes of a job go into one transaction, so
     * the write is delayed until there are enough tokens for them. If the bucket is full and still has too few tokens,
     * the write is allowed nevertheless, because waiting brings no further tokens.
     */
    private fun affordableChanges(
        prepared: PreparedWrite,
        allowedTokens: Double,
        now: Long,
    ): Int = if (budget.isFull(now)) maxOf(allowedTokens.toInt(), prepared.changes.size) else allowedTokens.toInt()

    /**
     * Until a deferred write is overdue, after the TTL of a worker's lease, it may use only the spare tokens: half of a
     * second's writes stay reserved for urgent ones. Otherwise about twenty arrays whose tasks end one by one use up
     * all tokens, and each placement has to wait for the next token.
     */
    private fun isDeferredDue(
        job: Job,
        spareTokens: Double,
        now: Long,
    ): Boolean = isOverdue(job, now) || spareTokens >= 1.0 && ageMs(job, now) >= timing.deferredWriteMs

    private fun isOverdue(
        job: Job,
        now: Long,
    ): Boolean = ageMs(job, now) >= timing.deferredWriteMaxMs

    private fun ageMs(
        job: Job,
        now: Long,
    ): Long = now - (job.dirtySince ?: now)

    /**
     * Makes the record smaller by removing attempts that aren't committed, of which no start has been sent. The next
     * write of the job is delayed by the TTL of a worker's lease.
     */
    private fun withdrawUncommitted(
        job: Job,
        now: Long,
    ) {
        val withdrawnAttempts = cluster.withdrawUncommitted(job)
        log.error("job record too large: job={} withdrawnAttempts={}", job.id, withdrawnAttempts)
        job.writeNotBefore = now + timing.workerLeaseTtlMs
    }

    private fun send(
        batch: List<PreparedWrite>,
        now: Long,
    ) {
        inFlight++
        val changes = batch.flatMap { it.changes }
        budget.take(changes.size.toDouble(), now)
        val conditions = ArrayList<Condition>(batch.size + 1)
        conditions.add(Condition(Keys.LEADERSHIP, leadership.version))
        for (prepared in batch) {
            val job = prepared.job
            conditions.add(Condition(Keys.job(job.id.value), job.version))
            job.beginWrite(prepared.record, prepared.stored.parts)
            cluster.dirtyJobs.remove(job)
        }
        state.commit(Transaction(conditions, changes)) { outcome ->
            inFlight--
            handleOutcome(outcome, batch)
        }
    }

    private fun handleOutcome(
        outcome: CommitOutcome,
        batch: List<PreparedWrite>,
    ) {
        val now = clock.steadyMs()
        when (outcome) {
            is CommitOutcome.Applied -> {
                log.info(
                    "job records committed: committedRevision={} jobs=[{}] {}",
                    outcome.revision,
                    summary(batch),
                    decisions.describe(),
                )
                for (prepared in batch) {
                    // The watch may have delivered this write before its answer arrived; then this call has no effect.
                    prepared.job.completeWrite(prepared.record, outcome.revision)
                    queueCommands(prepared.job)
                }
            }
            is CommitOutcome.Conflict -> {
                if (Keys.LEADERSHIP in outcome.failed) {
                    log.info("leader deposed: epoch={} token={}", leadership.epoch, leadership.token.value)
                    isDeposed = true
                }
                requeue(batch, now)
                nextWriteAt = now + timing.catchUpGapMs
                cache.catchUp {}
            }
            CommitOutcome.Refused -> {
                requeue(batch, now)
                nextWriteAt = now + timing.retryMs()
            }
            CommitOutcome.Invalid, CommitOutcome.LeaseExpired -> handleTooLarge(batch, now)
            // The transaction may have been applied or may still be: catch up first, then write again with the same
            // compare-and-swap versions.
            CommitOutcome.Unanswered -> cache.catchUp { requeue(batch, clock.steadyMs()) }
        }
    }

    /**
     * Log text on the records of a committed batch. Their attempts may be started from now on; `after` lists the
     * predecessors that had to be done before, with their revisions.
     */
    private fun summary(batch: List<PreparedWrite>): String =
        batch.joinToString { prepared ->
            val record = prepared.record
            val predecessors = if (record.placements.isEmpty()) emptyList() else prepared.job.spec.dependsOn
            val revisions = predecessors.joinToString(",") { "$it@${cache.job(it)?.version}" }
            val after = if (predecessors.isEmpty()) "" else " after=$revisions"
            "job=${prepared.job.id} phase=${record.phase.wire} attempts=${record.placements.size}$after"
        }

    /** Queues the machines whose workers can now receive starts or stops of [job]. */
    private fun queueCommands(job: Job) {
        for (attempt in job.attempts.values) {
            if (attempt.workerState == null || job.phase == Phase.CANCELLED) cluster.commandQueue.add(attempt.machine)
        }
    }

    private fun requeue(
        batch: List<PreparedWrite>,
        now: Long,
    ) {
        for (prepared in batch) prepared.job.requeueWrite(prepared.record, now)
    }

    /**
     * Handles a transaction that the state service will always refuse in this form, since it is too large: writes each
     * of its jobs alone, and a job that was alone already without its uncommitted attempts.
     */
    private fun handleTooLarge(
        batch: List<PreparedWrite>,
        now: Long,
    ) {
        requeue(batch, now)
        // The records were written whole just before heads and parts were enabled; the next write splits them.
        val isFormatOutdated = cache.writableFormat == WritableFormat.HEAD_AND_PARTS && batch.none { it.isHeadAndParts }
        if (isFormatOutdated) return
        if (batch.size > 1) {
            log.error("transaction too large: jobs={}", batch.size)
            for (prepared in batch) prepared.job.isWrittenAlone = true
        } else {
            for (prepared in batch) withdrawUncommitted(prepared.job, now)
        }
    }

    private companion object {
        const val MAX_IN_FLIGHT = 3
        val log = LoggerFactory.getLogger("commit")
    }
}
