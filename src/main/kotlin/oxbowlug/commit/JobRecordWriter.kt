package oxbowlug.commit

import org.slf4j.LoggerFactory
import oxbowlug.cache.StateCache
import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Job
import oxbowlug.config.Settings
import oxbowlug.config.WriteLimits
import oxbowlug.invariant.DecisionContext
import oxbowlug.port.Clock
import oxbowlug.port.CommitOutcome
import oxbowlug.port.StatePort
import oxbowlug.record.JobRecord
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Phase
import oxbowlug.record.RecordLayout
import oxbowlug.record.RequestIds
import oxbowlug.record.StoredForm
import oxbowlug.record.WritableFormat
import oxbowlug.timing.Timing
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.Change
import oxbowlug.wire.Condition
import oxbowlug.wire.Transaction
import oxbowlug.wire.sizeAsJson

/**
 * Writes changed job records, the urgent ones first, in transactions that also compare the view: a late one of an
 * earlier leader can't apply. Lesser changes wait a little, so that several ends of one job become one write.
 */
internal class JobRecordWriter(
    private val leadership: LeadershipRecord,
    private val requestIds: RequestIds,
    private val settings: Settings,
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val budget: TokenBucket,
    private val cache: StateCache,
    private val cluster: ClusterState,
    private val decisions: DecisionContext,
) {
    private var inFlight = 0
    private var notBefore = 0L

    /** The view changed under us: someone else leads. */
    var isDeposed = false
        private set

    val backlog: Int get() = cluster.dirty.size

    fun flush() {
        val now = clock.steadyMs()
        while (!isDeposed && inFlight < MAX_IN_FLIGHT && now >= notBefore) {
            val group = nextGroup(now)
            if (group.isEmpty()) return
            send(group, now)
        }
    }

    private class Prepared(
        val job: Job,
        val record: JobRecord,
        val form: StoredForm,
        val changes: List<Change>,
        val isDivided: Boolean,
    ) {
        val bytes: Int = changes.sumOf { if (it is Change.Put) it.value.sizeAsJson() else 0 }
    }

    private fun nextGroup(now: Long): List<Prepared> {
        if (cluster.dirty.isEmpty() || cache.writableFormat == WritableFormat.NONE) return emptyList()
        val limits = writeLimits()
        val tokens = budget.available(now)
        if (tokens < 1.0) return emptyList()
        val spare = budget.spare(now)
        val due =
            cluster.dirty.filter { job ->
                !job.isWriting && now >= job.writeNotBefore && (job.isUrgent || isLesserDue(job, spare, now))
            }
        val group = ArrayList<Prepared>()
        var changes = 0
        var bytes = 0
        for (job in due.sortedWith(compareBy<Job> { !it.isUrgent }.thenBy { it.priority })) {
            if (group.isNotEmpty() && job.isWrittenAlone) continue
            val next = prepare(job, limits, now) ?: continue
            // One job's changes belong together; with fewer tokens than it needs, it waits for more.
            val allowed = if (job.isUrgent || isOverdue(job, now)) tokens else spare
            val affordable = if (budget.isFull(now)) maxOf(allowed.toInt(), next.changes.size) else allowed.toInt()
            val room = minOf(affordable, limits.txnOps)
            if (changes + next.changes.size > room || group.isNotEmpty() && bytes + next.bytes > MAX_BYTES) break
            group.add(next)
            changes += next.changes.size
            bytes += next.bytes
            if (changes == room || job.isWrittenAlone) break
        }
        return group
    }

    /**
     * Found on the bench: some twenty arrays whose tasks ended one by one took every token as it came, and each
     * placement waited for the next. So lesser changes leave half of a second's writes alone, for as long as a worker's
     * lease.
     */
    private fun isLesserDue(
        job: Job,
        spare: Double,
        now: Long,
    ): Boolean = isOverdue(job, now) || spare >= 1.0 && ageMs(job, now) >= timing.lazyWriteMs

    private fun isOverdue(
        job: Job,
        now: Long,
    ): Boolean = ageMs(job, now) >= timing.lazyWriteLatestMs

    private fun ageMs(
        job: Job,
        now: Long,
    ): Long = now - (job.dirtySince ?: now)

    /** What values and transactions are built for now. */
    private fun writeLimits(): WriteLimits =
        if (cache.writableFormat == WritableFormat.HEAD_AND_PARTS) settings.state.lowest else settings.state.present

    /** Null: it has to shrink first. */
    private fun prepare(
        job: Job,
        limits: WriteLimits,
        now: Long,
    ): Prepared? {
        val isDivided = cache.writableFormat == WritableFormat.HEAD_AND_PARTS
        val record = job.record(requestIds.next(), isBrief = isDivided)
        val whole = record.encode()
        val form = if (isDivided) RecordLayout(limits).split(whole) else StoredForm(whole, emptyList())
        if (form == null) {
            makeSmaller(job, now)
            return null
        }
        return Prepared(job, record, form, changes(job, form), isDivided)
    }

    private fun changes(
        job: Job,
        form: StoredForm,
    ): List<Change> {
        val id = job.id.value
        val changes = ArrayList<Change>()
        changes.add(Change.Put(Keys.job(id), form.head))
        for ((index, part) in form.parts.withIndex()) {
            if (job.storedParts.getOrNull(index) != part) changes.add(Change.Put(Keys.part(id, index), part))
        }
        for (index in form.parts.size until job.storedParts.size) changes.add(Change.Delete(Keys.part(id, index)))
        return changes
    }

    /** Placements that aren't stored were never sent, so they can be taken back; without them the record is smaller. */
    private fun makeSmaller(
        job: Job,
        now: Long,
    ) {
        val takenBack = cluster.withdrawUncommitted(job)
        log.error("the record of {} is larger than the state service takes, {} placements back", job.id, takenBack)
        job.writeNotBefore = now + timing.workerLeaseRawMs
    }

    private fun send(
        group: List<Prepared>,
        now: Long,
    ) {
        inFlight++
        val changes = group.flatMap { it.changes }
        budget.take(changes.size.toDouble(), now)
        val conditions = ArrayList<Condition>(group.size + 1)
        conditions.add(Condition(Keys.LEADERSHIP, leadership.version))
        for (prepared in group) {
            val job = prepared.job
            conditions.add(Condition(Keys.job(job.id.value), job.version))
            job.beginWrite(prepared.record, prepared.form.parts)
            cluster.dirty.remove(job)
        }
        state.commit(Transaction(conditions, changes)) { outcome ->
            inFlight--
            take(outcome, group)
        }
    }

    private fun take(
        outcome: CommitOutcome,
        group: List<Prepared>,
    ) {
        val now = clock.steadyMs()
        when (outcome) {
            is CommitOutcome.Applied -> {
                log.info("stored at {}: {}; {}", outcome.revision, summary(group), decisions.describe())
                for (prepared in group) {
                    // The watch may have brought the write before its answer did.
                    prepared.job.written(prepared.record, outcome.revision)
                    pushAfterWrite(prepared.job)
                }
            }
            is CommitOutcome.Conflict -> {
                if (Keys.LEADERSHIP in outcome.failed) {
                    log.info("the view has changed, this leader is deposed")
                    isDeposed = true
                }
                writeAgain(group, now)
                notBefore = now + timing.catchUpGapMs
                cache.catchUp {}
            }
            CommitOutcome.Refused -> {
                writeAgain(group, now)
                notBefore = now + timing.retryMs()
            }
            CommitOutcome.Invalid, CommitOutcome.LeaseOver -> refuseSize(group, now)
            // It may have been applied, or may be later: read, then write again under the same versions.
            CommitOutcome.Unanswered -> cache.catchUp { writeAgain(group, clock.steadyMs()) }
        }
    }

    /** What the records allow from now on: starts of what is placed, and why its jobs were ready. */
    private fun summary(group: List<Prepared>): String =
        group.joinToString { prepared ->
            val record = prepared.record
            val needs = if (record.placements.isEmpty()) emptyList() else prepared.job.spec.dependsOn
            val known = needs.joinToString { "$it@${cache.job(it)?.version}" }
            val after = if (needs.isEmpty()) "" else " after $known"
            "${prepared.job.id} ${record.phase.wire}, ${record.placements.size} placed$after"
        }

    private fun pushAfterWrite(job: Job) {
        for (attempt in job.attempts.values) {
            if (attempt.workerState == null || job.phase == Phase.CANCELLED) cluster.pendingPushes.add(attempt.machine)
        }
    }

    private fun writeAgain(
        group: List<Prepared>,
        now: Long,
    ) {
        for (prepared in group) prepared.job.notWritten(prepared.record, now)
    }

    /** Sent again unchanged it would be refused for ever: first each job alone, then with what can be taken back. */
    private fun refuseSize(
        group: List<Prepared>,
        now: Long,
    ) {
        writeAgain(group, now)
        // Written whole just before the format was switched on, they are divided the next time.
        val isOutdated = cache.writableFormat == WritableFormat.HEAD_AND_PARTS && group.none { it.isDivided }
        if (isOutdated) return
        if (group.size > 1) {
            log.error("the state service refused a transaction of {} records for its size", group.size)
            for (prepared in group) prepared.job.isWrittenAlone = true
        } else {
            for (prepared in group) makeSmaller(prepared.job, now)
        }
    }

    private companion object {
        const val MAX_IN_FLIGHT = 3
        const val MAX_BYTES = 48 * 1024
        val log = LoggerFactory.getLogger("commits")
    }
}
