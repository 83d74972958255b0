package oxbowlug.core

import org.slf4j.LoggerFactory
import oxbowlug.config.Settings
import oxbowlug.wire.Change
import oxbowlug.wire.Condition
import oxbowlug.wire.Transaction

/**
 * Writes changed job records, the urgent ones first, in transactions that also compare the view: a late one of an
 * earlier leader can't apply. Lesser changes wait a little, so that several ends of one job become one write.
 */
class Commits(
    private val view: View,
    private val names: Names,
    private val settings: Settings,
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val budget: RateBudget,
    private val replica: Replica,
    private val fleet: Fleet,
) {
    private val valueLimit = settings.state.valueKb * 1024
    private var inFlight = 0
    private var notBefore = 0L

    /** The view changed under us: someone else leads. */
    var deposed = false
        private set

    val backlog: Int get() = fleet.dirty.size

    fun flush() {
        val now = clock.steadyMs()
        while (!deposed && inFlight < MAX_IN_FLIGHT && now >= notBefore) {
            val group = nextGroup(now)
            if (group.isEmpty()) return
            send(group, now)
        }
    }

    private fun nextGroup(now: Long): List<Job> {
        if (fleet.dirty.isEmpty()) return emptyList()
        val room = minOf(budget.available(now).toInt(), settings.state.txnOps)
        if (room < 1) return emptyList()
        val due = fleet.dirty.filter { job ->
            !job.isWriting && (job.isUrgent || now >= (job.dirtySince ?: now) + timing.lazyWriteMs)
        }
        if (due.isEmpty()) return emptyList()
        val group = ArrayList<Job>(room)
        var bytes = 0
        for (job in due.sortedWith(compareBy<Job> { !it.isUrgent }.thenBy { it.spec.priority })) {
            val size = RecordSize.bound(job)
            if (group.isNotEmpty() && bytes + size > MAX_BYTES) break
            group.add(job)
            bytes += size
            if (group.size == room) break
        }
        return group
    }

    private fun send(group: List<Job>, now: Long) {
        inFlight++
        budget.take(group.size.toDouble(), now)
        val conditions = ArrayList<Condition>(group.size + 1)
        conditions.add(Condition(Keys.VIEW, view.version))
        val changes = ArrayList<Change>(group.size)
        for (job in group) {
            conditions.add(Condition(Keys.job(job.id.value), job.version))
            val record = job.beginWrite(names.next())
            fleet.dirty.remove(job)
            changes.add(Change.Put(Keys.job(job.id.value), record.encode()))
        }
        state.commit(Transaction(conditions, changes)) { outcome ->
            inFlight--
            take(outcome, group)
        }
    }

    private fun take(outcome: CommitOutcome, group: List<Job>) {
        val now = clock.steadyMs()
        when (outcome) {
            is CommitOutcome.Applied -> for (job in group) {
                // The watch may have brought the write before its answer did.
                job.written(outcome.revision)
                for (placed in job.live.values) if (placed.seen == null) fleet.pokes.add(placed.machine)
                if (job.phase == Phase.CANCELLED) for (placed in job.live.values) fleet.pokes.add(placed.machine)
            }
            is CommitOutcome.Conflict -> {
                if (Keys.VIEW in outcome.failed) {
                    log.info("the view has changed, this leader is deposed")
                    deposed = true
                }
                for (job in group) if (job.isWriting) job.notWritten(now)
                notBefore = now + timing.catchUpGapMs
                replica.catchUp {}
            }
            CommitOutcome.Refused -> {
                for (job in group) if (job.isWriting) job.notWritten(now)
                notBefore = now + timing.retryMs()
            }
            CommitOutcome.Invalid -> {
                log.error("a transaction of {} records was called malformed", group.size)
                for (job in group) if (job.isWriting) job.notWritten(now)
                notBefore = now + timing.retryMs() * 4
            }
            CommitOutcome.Unanswered -> {
                // It may have been applied, or may be later: read, then write again under the same versions.
                replica.catchUp { for (job in group) if (job.isWriting) job.notWritten(clock.steadyMs()) }
            }
        }
    }

    private companion object {
        const val MAX_IN_FLIGHT = 3
        const val MAX_BYTES = 48 * 1024
        val log = LoggerFactory.getLogger("commits")
    }
}

/** An upper bound of a record's size in the form in which the state service counts it. */
object RecordSize {
    fun bound(job: Job): Int {
        val machines = job.live.values.mapTo(HashSet()) { it.machine }.size
        return JobRecord.SPEC_BOUND + Ranges.sizeBound(job.done) +
            machines * JobRecord.MACHINE_BOUND + job.live.size * JobRecord.PLACEMENT_BOUND
    }
}
