package oxbowlug.cluster

import oxbowlug.record.JobRecord
import oxbowlug.record.Phase
import oxbowlug.record.Placement
import oxbowlug.resource.resources
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineId
import java.util.BitSet

/** What the leader knows of a job: what the state service holds, and what is yet to be written there. */
internal class Job(
    record: JobRecord,
    version: Long,
    private val onDirty: (Job) -> Unit = {},
) {
    val id: JobId = record.spec.id
    val spec = record.spec
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
    private var stored: Map<Int, Placement> = record.placements
    private var lastWrite = record.writeId
    private var pendingRecord: JobRecord? = null

    /** As they are in the state service; null where only their number is known. */
    var storedParts: List<Map<String, Any?>?> = arrayOfNulls<Map<String, Any?>>(record.partCount).asList()
        private set
    private var pendingParts: List<Map<String, Any?>> = emptyList()

    /** The state service refused a write of this job alone, for its size: the same is not sent again. */
    var writeNotBefore = 0L
    var isWrittenAlone = false

    /** The most urgent of its own priority and of those of the jobs that need it. */
    var priority = spec.priority

    /** When it has to be done for the jobs after it to keep their deadlines, by the time of day; null: no deadline. */
    var latestEndMs: Long? = null

    /** When all its predecessors were known to be done, by the time of day. Nothing of it starts before. */
    var readyMs: Long? = if (spec.dependsOn.isEmpty()) record.submittedMs else null

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
    var backoffUntil = 0L
    var failures = 0
    val avoid = HashMap<MachineId, Long>()
    val failedOn = HashSet<MachineId>()

    val remaining: Int get() = spec.tasks - done.cardinality()

    /** Replaces the attempts by those of a stored record, which this leader or an earlier one committed. */
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

    /** A new attempt of [task], which is not to be started before its record is stored. */
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

    /** Tasks placed in one round share an attempt number, which keeps the record short. */
    fun advanceAttemptNumber() {
        nextAttempt++
    }

    /** The task's result counts, whatever happens to its attempts. */
    fun markDone(
        task: Int,
        now: Long,
    ) {
        done.set(task)
        val complete = remaining == 0
        if (complete && phase == Phase.ACTIVE) phase = Phase.DONE
        markDirty(now, urgent = complete)
    }

    /** Removes the attempt of [task]. Only [ClusterState.remove] may call it, for a proof. */
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

    /** The next waiting tasks, at most [limit], the lowest numbers first so that `done` stays one short range. */
    fun pendingTasks(limit: Int): IntArray {
        val result = IntArray(minOf(limit, remaining))
        var count = 0
        var task = done.nextClearBit(0)
        while (task < spec.tasks && count < result.size) {
            if (task !in attempts) result[count++] = task
            task = done.nextClearBit(task + 1)
        }
        return if (count == result.size) result else result.copyOf(count)
    }

    /** Whether the stored record, or the one that is being written, names [attempt]. */
    fun isStored(attempt: AttemptId): Boolean =
        holds(stored, attempt) ||
            pendingRecord?.let {
                holds(it.placements, attempt)
            } == true

    private fun holds(
        placements: Map<Int, Placement>,
        attempt: AttemptId,
    ): Boolean = placements[attempt.task.index]?.attempt == attempt.number

    /** What is to be written now, under the name [writeId]; [isBrief] leaves out what nobody asks for any more. */
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

    /** Of a cancelled job that is over nobody asks which tasks were done, only how many. */
    private fun briefDone(): BitSet {
        if (phase != Phase.CANCELLED || attempts.isNotEmpty()) return done.clone() as BitSet
        return BitSet().apply { set(0, done.cardinality()) }
    }

    /** [record] is sent to the state service; [parts] are its parts if it is divided. */
    fun beginWrite(
        record: JobRecord,
        parts: List<Map<String, Any?>>,
    ) {
        pendingRecord = record
        pendingParts = parts
        dirtySince = null
        isUrgent = false
    }

    /** Whether [record] is the write on its way: the watch may have settled it, and another one have begun. */
    fun isWriting(record: JobRecord): Boolean = pendingRecord === record

    /** [record] is stored at [revision]. An answer that comes after the watch has brought the same changes nothing. */
    fun completeWrite(
        record: JobRecord,
        revision: Long,
    ) {
        // Found with slow answers: mistaken for that to the next write, it had starts sent that no stored record named.
        if (!isWriting(record)) return
        pendingRecord = null
        version = maxOf(version, revision)
        stored = record.placements
        storedParts = pendingParts
        isWrittenAlone = false
        lastWrite = record.writeId
        for ((task, placement) in record.placements) {
            val attempt = attempts[task]
            if (attempt != null && attempt.number == placement.attempt) attempt.isCommitted = true
        }
    }

    /** Is written again though nothing changed: its record is larger than values may be soon. */
    fun rewrite(now: Long) = markDirty(now, urgent = false)

    /** A job that it needs is cancelled, so it never had a task, and its own record only has to say so in the end. */
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

    /** [record] is surely not written, or it isn't known: written again, under the same condition on the version. */
    fun requeueWrite(
        record: JobRecord,
        now: Long,
    ) {
        // Mistaken for the answer to the next write, which may be stored, a third one would begin beside it.
        if (!isWriting(record)) return
        pendingRecord = null
        markDirty(now, urgent = true)
    }

    /**
     * Another controller's write, which can only be a cancellation on top of the last committed record. If that
     * record is not one we know to be ours, one of our unanswered writes was applied late: what is stored counts.
     * Returns true if the attempts were replaced.
     */
    fun applyForeignWrite(
        record: JobRecord,
        newVersion: Long,
        now: Long,
    ): Boolean {
        val pending = pendingRecord
        if (pending != null && record.writeId == pending.writeId) completeWrite(pending, newVersion)
        version = newVersion
        stored = record.placements
        if (record.partCount != storedParts.size) {
            storedParts = arrayOfNulls<Map<String, Any?>>(record.partCount).asList()
        }
        var replaced = false
        if (record.writeId != lastWrite) {
            lastWrite = record.writeId
            pendingRecord = null
            storedParts = arrayOfNulls<Map<String, Any?>>(record.partCount).asList()
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
            restoreAttempts(record)
            markDirty(now, urgent = false)
        }
        return replaced
    }
}
