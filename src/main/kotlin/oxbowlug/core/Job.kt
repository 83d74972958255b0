package oxbowlug.core

import oxbowlug.plan.amounts
import oxbowlug.wire.Attempt
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineId
import oxbowlug.wire.TaskId
import oxbowlug.wire.TaskState
import java.util.BitSet

enum class StopReason { PREEMPTED, DRAINED }

/** One attempt that is, or may be, on a machine. It counts for every limit until it is proven gone. */
class Live(val job: Job, val task: Int, val machine: MachineId, val number: Long) {
    val attempt = Attempt(TaskId(job.id, task), number)

    /** Written to the state service: only then may it be started. */
    var committed = false

    /** Placed by an earlier leader, whose start may still be on its way until the worker shows our token. */
    var inherited = false

    /** The worker has shown it in some state. */
    var seen: TaskState? = null
    var seenRunningAt = 0L

    /** A start went out in the answer to this report; a newer one that lacks the attempt shows it was dropped. */
    var answeredAt: Stamp? = null
    private var firstSentAt: Long? = null
    var stop: StopReason? = null

    /** Where it is to go on, if it was stopped only to be moved. */
    var target: MachineId? = null
    val isWanted: Boolean get() = stop == null && job.phase == Phase.ACTIVE

    fun sentInAnswer(stamp: Stamp, now: Long) {
        answeredAt = stamp
        sentDirectly(now)
    }

    fun sentDirectly(now: Long) {
        if (firstSentAt == null) firstSentAt = now
    }

    fun isOverdue(now: Long, patienceMs: Long): Boolean = firstSentAt?.let { now - it > patienceMs } ?: false
}

/** The order of a worker's messages. */
data class Stamp(val session: Long, val sequence: Long) : Comparable<Stamp> {
    override fun compareTo(other: Stamp): Int = compareValuesBy(this, other, { it.session }, { it.sequence })
}

/** The leader's account of a job: what the state service holds, and what is yet to be written there. */
class Job(record: JobRecord, version: Long, private val onDirty: (Job) -> Unit = {}) {
    val id: JobId = record.spec.id
    val spec = record.spec
    val need = spec.amounts()
    val submittedMs = record.submittedMs
    var phase = record.phase
        private set
    val done: BitSet = record.done.clone() as BitSet
    val live = LinkedHashMap<Int, Live>()
    var nextAttempt = record.nextAttempt
        private set

    var version = version
        private set
    private var stored: Map<Int, Placement> = record.placements
    private var lastWrite = record.write
    private var pendingRecord: JobRecord? = null

    /** Differs from what is stored. */
    var dirtySince: Long? = null
        private set

    /** Something waits for the write: a start, or a user for the end of the job. */
    var isUrgent = false
        private set
    val isWriting: Boolean get() = pendingRecord != null
    var cancelledAt: Long? = null
    private var cancelledMs = record.cancelledMs

    /** Until then it goes before others, since room was found for it before it was stopped. */
    var movingUntil = 0L

    /** Backing off after errors: no new starts before this. */
    var holdUntil = 0L
    var failures = 0
    val avoid = HashMap<MachineId, Long>()
    val failedOn = HashSet<MachineId>()

    val remaining: Int get() = spec.tasks - done.cardinality()

    fun liveFrom(record: JobRecord) {
        live.clear()
        for ((task, placement) in record.placements) {
            live[task] = Live(this, task, placement.machine, placement.attempt).apply {
                committed = true
                inherited = true
            }
        }
    }

    fun place(task: Int, machine: MachineId, now: Long): Live {
        val placed = Live(this, task, machine, nextAttempt)
        live[task] = placed
        touch(now, urgent = true)
        return placed
    }

    /** Tasks placed in one round share an attempt number, which keeps the record short. */
    fun closeRound() {
        nextAttempt++
    }

    fun markDone(task: Int, now: Long) {
        done.set(task)
        val complete = remaining == 0
        if (complete && phase == Phase.ACTIVE) phase = Phase.DONE
        touch(now, urgent = complete)
    }

    fun drop(task: Int, now: Long) {
        if (live.remove(task) != null) touch(now, urgent = false)
    }

    private fun touch(now: Long, urgent: Boolean) {
        if (dirtySince == null) {
            dirtySince = now
            onDirty(this)
        }
        if (urgent) isUrgent = true
    }

    /** The next waiting tasks, at most [limit], the lowest numbers first so that `done` stays one short range. */
    fun pendingTasks(limit: Int): IntArray {
        val result = IntArray(minOf(limit, remaining))
        var count = 0
        var task = done.nextClearBit(0)
        while (task < spec.tasks && count < result.size) {
            if (task !in live) result[count++] = task
            task = done.nextClearBit(task + 1)
        }
        return if (count == result.size) result else result.copyOf(count)
    }

    fun isStored(attempt: Attempt): Boolean = holds(stored, attempt) || pendingRecord?.let {
        holds(it.placements, attempt)
    } == true

    private fun holds(placements: Map<Int, Placement>, attempt: Attempt): Boolean =
        placements[attempt.task.index]?.attempt == attempt.number

    fun beginWrite(write: String): JobRecord {
        val record = JobRecord(
            spec, submittedMs, phase, done.clone() as BitSet, nextAttempt,
            live.mapValues { (_, placed) -> Placement(placed.machine, placed.number) }, write, cancelledMs,
        )
        pendingRecord = record
        dirtySince = null
        isUrgent = false
        return record
    }

    fun written(revision: Long) {
        val record = pendingRecord ?: return
        pendingRecord = null
        version = maxOf(version, revision)
        stored = record.placements
        lastWrite = record.write
        for ((task, placement) in record.placements) {
            val placed = live[task]
            if (placed != null && placed.number == placement.attempt) placed.committed = true
        }
    }

    /** Surely not written, or not known: it is written again, under the same condition on the version. */
    fun notWritten(now: Long) {
        pendingRecord = null
        touch(now, urgent = true)
    }

    /**
     * Another controller's write, which can only be a cancellation on top of the last committed record. If that
     * record is not one we know to be ours, one of our unanswered writes was applied late: what is stored counts.
     * Returns true if the live attempts were replaced.
     */
    fun foreignWrite(record: JobRecord, newVersion: Long, now: Long): Boolean {
        val pending = pendingRecord
        if (pending != null && record.write == pending.write) written(newVersion)
        version = newVersion
        stored = record.placements
        var replaced = false
        if (record.write != lastWrite) {
            lastWrite = record.write
            pendingRecord = null
            done.clear()
            done.or(record.done)
            nextAttempt = maxOf(nextAttempt, record.nextAttempt)
            replaced = true
        }
        // A final phase that is stored was or will be told; ours, if another, was not.
        if (record.phase == Phase.DONE) phase = Phase.DONE
        if (record.phase == Phase.CANCELLED && phase != Phase.CANCELLED) {
            phase = Phase.CANCELLED
            cancelledMs = record.cancelledMs
            cancelledAt = now
        }
        if (replaced) {
            liveFrom(record)
            touch(now, urgent = false)
        }
        return replaced
    }
}
