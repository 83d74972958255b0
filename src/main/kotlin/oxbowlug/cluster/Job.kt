package oxbowlug.cluster

import oxbowlug.record.JobRecord
import oxbowlug.record.Phase
import oxbowlug.record.Placement
import oxbowlug.resource.resources
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineId
import java.util.BitSet

/**
 * A job as the leader holds it: the record in the state service, and the changes that aren't written there yet.
 * Properties whose names end in `Ms` are times of day in ms; all other times are ms of the leader's steady clock.
 */
internal class Job(
    record: JobRecord,
    version: Long,
    private val onDirty: (Job) -> Unit = {},
) {
    val id: JobId = record.spec.id
    val spec = record.spec

    /** The resources that each task takes. */
    val need = spec.resources()
    val submittedMs = record.submittedMs
    var phase = record.phase
        private set
    val done: BitSet = record.done.clone() as BitSet
    val attempts = LinkedHashMap<Int, TaskAttempt>()
    var nextAttempt = record.nextAttempt
        private set

    var version = version
        private set
    private var storedPlacements: Map<Int, Placement> = record.placements
    private var lastWriteId = record.writeId
    private var pendingRecord: JobRecord? = null

    /** The parts of the record in the state service; null for parts whose contents aren't known. */
    var storedParts: List<Map<String, Any?>?> = arrayOfNulls<Map<String, Any?>>(record.partCount).asList()
        private set
    private var pendingParts: List<Map<String, Any?>> = emptyList()

    /** No write before this time. It is set when the record alone is too large, so that the same isn't sent again. */
    var writeNotBefore = 0L

    /** The next write goes in a transaction of its own, since one with other jobs was refused for its size. */
    var isWrittenAlone = false

    /** The most urgent among this job's own priority and those of the jobs that depend on it. */
    var priority = spec.priority

    /** The latest end with which this job and those that depend on it meet their deadlines; null: no deadline. */
    var latestEndMs: Long? = null

    /** From when tasks may start: the submission, or when all predecessors were known to be done; null until then. */
    var readyMs: Long? = if (spec.dependsOn.isEmpty()) record.submittedMs else null

    /** Since when there are changes that are neither stored nor being written; null if there are none. */
    var dirtySince: Long? = null
        private set

    /** Whether the write can't be deferred: the start of an attempt, or the report of the job's end, depends on it. */
    var isUrgent = false
        private set
    val isWriting: Boolean get() = pendingRecord != null

    /** From when the time allowed for ending cancelled tasks counts; null if the job isn't cancelled. */
    var cancelledAt: Long? = null
    private var cancelledMs = record.cancelledMs

    /** Until then the job goes before others: room for its tasks that are being moved was found before their stop. */
    var movingUntil = 0L

    /** No task of the job starts before this time, since tasks failed on several machines. */
    var backoffUntil = 0L
    var failures = 0

    /** Machines on which none of the job's tasks is placed, each until the given time. */
    val avoid = HashMap<MachineId, Long>()

    /** Machines on which a task of the job exited with an error. */
    val failedOn = HashSet<MachineId>()

    val remaining: Int get() = spec.tasks - done.cardinality()

    /** Replaces the attempts with those of a stored record, which this leader or an earlier one committed. */
    fun restoreAttempts(record: JobRecord) {
        attempts.clear()
        for ((task, placement) in record.placements) {
            attempts[task] =
                TaskAttempt(this, task, placement.machine, placement.attempt).apply {
                    isCommitted = true
                    isInherited = true
                }
        }
    }

    /** Creates an attempt of [task]. Its start isn't sent before the job's record is stored. */
    fun place(
        task: Int,
        machine: MachineId,
        now: Long,
    ): TaskAttempt {
        val attempt = TaskAttempt(this, task, machine, nextAttempt)
        attempts[task] = attempt
        markDirty(now, urgent = true)
        return attempt
    }

    /** Called after each scheduling round. Tasks placed in one round share a number, which keeps the record short. */
    fun advanceAttemptNumber() {
        nextAttempt++
    }

    /** Records that [task] is done, which stays so whatever happens to its attempts. */
    fun markDone(
        task: Int,
        now: Long,
    ) {
        done.set(task)
        val complete = remaining == 0
        if (complete && phase == Phase.ACTIVE) phase = Phase.DONE
        markDirty(now, urgent = complete)
    }

    /** Removes the attempt of [task]. Only [ClusterState.removeAttempt] may call this, since it needs a proof. */
    fun removeAttempt(
        task: Int,
        now: Long,
    ) {
        if (attempts.remove(task) != null) markDirty(now, urgent = false)
    }

    private fun markDirty(
        now: Long,
        urgent: Boolean,
    ) {
        if (dirtySince == null) {
            dirtySince = now
            onDirty(this)
        }
        if (urgent) isUrgent = true
    }

    /** Whether [attempt] is in the stored record, or in the one that is being written and may be stored already. */
    fun mayBeStored(attempt: AttemptId): Boolean =
        containsAttempt(storedPlacements, attempt) ||
            pendingRecord?.let {
                containsAttempt(it.placements, attempt)
            } == true

    private fun containsAttempt(
        placements: Map<Int, Placement>,
        attempt: AttemptId,
    ): Boolean = placements[attempt.task.index]?.attempt == attempt.number

    /** The record to write now, under the id [writeId]. [isBrief] shortens that of a cancelled job, see [briefDone]. */
    fun record(
        writeId: String,
        isBrief: Boolean = false,
    ) = JobRecord(
        spec,
        submittedMs,
        phase,
        if (isBrief) briefDone() else done.clone() as BitSet,
        nextAttempt,
        attempts.mapValues { (_, attempt) -> Placement(attempt.machine, attempt.number) },
        writeId,
        cancelledMs,
    )

    /** Of a cancelled job without attempts only the number of done tasks is needed, so they become one range. */
    private fun briefDone(): BitSet {
        if (phase != Phase.CANCELLED || attempts.isNotEmpty()) return done.clone() as BitSet
        return BitSet().apply { set(0, done.cardinality()) }
    }

    /** Notes that [record] is being sent to the state service; [parts] are its parts if it is split. */
    fun beginWrite(
        record: JobRecord,
        parts: List<Map<String, Any?>>,
    ) {
        pendingRecord = record
        pendingParts = parts
        dirtySince = null
        isUrgent = false
    }

    /** Whether [record] is the write in flight. The watch may have confirmed it, and another write may have begun. */
    fun isWriting(record: JobRecord): Boolean = pendingRecord === record

    /** Notes that [record] is stored at [revision]. No effect if the watch has confirmed the same write before. */
    fun completeWrite(
        record: JobRecord,
        revision: Long,
    ) {
        // A slow answer to an earlier write was once taken for the answer to the write in flight. Starts were then sent
        // whose attempts were in no stored record.
        if (!isWriting(record)) return
        pendingRecord = null
        version = maxOf(version, revision)
        storedPlacements = record.placements
        storedParts = pendingParts
        isWrittenAlone = false
        lastWriteId = record.writeId
        for ((task, placement) in record.placements) {
            val attempt = attempts[task]
            if (attempt != null && attempt.number == placement.attempt) attempt.isCommitted = true
        }
    }

    /** Schedules a write though nothing changed: the stored value is larger than the limit that applies soon. */
    fun rewrite(now: Long) = markDirty(now, urgent = false)

    /**
     * Cancels the job because a predecessor is cancelled. None of its tasks has ever started, so the write of its own
     * record isn't urgent.
     */
    fun cancelByPredecessor(
        now: Long,
        wallMs: Long,
    ) {
        if (phase != Phase.ACTIVE) return
        phase = Phase.CANCELLED
        cancelledAt = now
        cancelledMs = wallMs
        markDirty(now, urgent = false)
    }

    /**
     * Schedules another write after that of [record] failed, or its outcome isn't known. The next write is conditional
     * on the same version, so at most one of the two applies.
     */
    fun requeueWrite(
        record: JobRecord,
        now: Long,
    ) {
        // Taken for the answer to the next write, which may be stored, a late answer would begin a third one beside it.
        if (!isWriting(record)) return
        pendingRecord = null
        markDirty(now, urgent = true)
    }

    /**
     * Applies a newer stored record. Another controller can only have written a cancellation on top of the last
     * committed record, and keeps its write id. If the id is neither that of the write in flight nor the last known
     * one, an unanswered write of this leader was applied late, and the stored record replaces the local state. Returns
     * true if the attempts were replaced.
     */
    fun applyForeignWrite(
        record: JobRecord,
        newVersion: Long,
        now: Long,
    ): Boolean {
        val pending = pendingRecord
        if (pending != null && record.writeId == pending.writeId) completeWrite(pending, newVersion)
        version = newVersion
        storedPlacements = record.placements
        if (record.partCount != storedParts.size) {
            storedParts = arrayOfNulls<Map<String, Any?>>(record.partCount).asList()
        }
        var replaced = false
        if (record.writeId != lastWriteId) {
            lastWriteId = record.writeId
            pendingRecord = null
            storedParts = arrayOfNulls<Map<String, Any?>>(record.partCount).asList()
            done.clear()
            done.or(record.done)
            nextAttempt = maxOf(nextAttempt, record.nextAttempt)
            replaced = true
        }
        // Users see the stored final phase, now or later. A different one that only this leader had was never reported.
        if (record.phase == Phase.DONE) phase = Phase.DONE
        if (record.phase == Phase.CANCELLED && phase != Phase.CANCELLED) {
            phase = Phase.CANCELLED
            cancelledMs = record.cancelledMs
            cancelledAt = now
        }
        if (replaced) {
            restoreAttempts(record)
            markDirty(now, urgent = false)
        }
        return replaced
    }
}
