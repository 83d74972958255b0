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
 * Writes changed job records for the leader, the urgent ones first, in transactions that also compare the revision of
 * the leadership record: a late one of an earlier leader can't apply. Changes that aren't urgent are deferred a little,
 * so that several ends of tasks of one job become one write.
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

    /** The leadership record was changed by another controller: someone else leads. */
    var isDeposed = false
        private set

    val backlog: Int get() = cluster.dirtyJobs.size

    /** Sends what is due, as far as the write rate and the limit of transactions in flight allow. */
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
        val spare = budget.spare(now)
        val batch = WriteBatch(limits.txnOps)
        for (job in dueJobs(spare, now)) {
            if (!batch.isEmpty && job.isWrittenAlone) continue
            val next = preparer.prepare(job, limits)
            if (next == null) {
                withdrawUncommitted(job, now)
                continue
            }
            val allowed = if (job.isUrgent || isOverdue(job, now)) tokens else spare
            if (!batch.add(next, affordableChanges(next, allowed, now))) break
            if (batch.isFull || job.isWrittenAlone) break
        }
        return batch.writes
    }

    /** Urgent ones first, then by priority. */
    private fun dueJobs(
        spare: Double,
        now: Long,
    ): List<Job> =
        cluster.dirtyJobs
            .filter { job ->
                !job.isWriting && now >= job.writeNotBefore && (job.isUrgent || isDeferredDue(job, spare, now))
            }.sortedWith(compareBy<Job> { !it.isUrgent }.thenBy { it.priority })

    /** One job's changes belong together; with fewer tokens than it needs, it waits for more. */
    private fun affordableChanges(
        next: PreparedWrite,
        allowed: Double,
        now: Long,
    ): Int = if (budget.isFull(now)) maxOf(allowed.toInt(), next.changes.size) else allowed.toInt()

    /**
     * Found on the bench: some twenty arrays whose tasks ended one by one took every token as it came, and each
     * placement waited for the next. So deferred changes leave half of a second's writes alone, for as long as a
     * worker's lease.
     */
    private fun isDeferredDue(
        job: Job,
        spare: Double,
        now: Long,
    ): Boolean = isOverdue(job, now) || spare >= 1.0 && ageMs(job, now) >= timing.deferredWriteMs

    private fun isOverdue(
        job: Job,
        now: Long,
    ): Boolean = ageMs(job, now) >= timing.deferredWriteMaxMs

    private fun ageMs(
        job: Job,
        now: Long,
    ): Long = now - (job.dirtySince ?: now)

    /** Attempts that aren't committed were never sent, so they can be withdrawn; without them the record is smaller. */
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
            job.beginWrite(prepared.record, prepared.form.parts)
            cluster.dirtyJobs.remove(job)
        }
        state.commit(Transaction(conditions, changes)) { outcome ->
            inFlight--
            accept(outcome, batch)
        }
    }

    private fun accept(
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
                    // The watch may have brought the write before its answer did.
                    prepared.job.completeWrite(prepared.record, outcome.revision)
                    queuePushes(prepared.job)
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
            // It may have been applied, or may be later: read, then write again with the same compare-and-swap
            // versions.
            CommitOutcome.Unanswered -> cache.catchUp { requeue(batch, clock.steadyMs()) }
        }
    }

    /** What the records allow from now on: starts of their attempts, and why the jobs were ready. */
    private fun summary(batch: List<PreparedWrite>): String =
        batch.joinToString { prepared ->
            val record = prepared.record
            val needs = if (record.placements.isEmpty()) emptyList() else prepared.job.spec.dependsOn
            val predecessors = needs.joinToString(",") { "$it@${cache.job(it)?.version}" }
            val after = if (needs.isEmpty()) "" else " after=$predecessors"
            "job=${prepared.job.id} phase=${record.phase.wire} attempts=${record.placements.size}$after"
        }

    private fun queuePushes(job: Job) {
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
     * Sent again unchanged it would be refused for ever: first each job alone, then without the attempts that can be
     * withdrawn.
     */
    private fun handleTooLarge(
        batch: List<PreparedWrite>,
        now: Long,
    ) {
        requeue(batch, now)
        // Written whole just before the format was enabled, they are split the next time.
        val isFormatOutdated = cache.writableFormat == WritableFormat.HEAD_AND_PARTS && batch.none { it.isSplit }
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
