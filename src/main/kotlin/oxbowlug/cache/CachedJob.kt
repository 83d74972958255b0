package oxbowlug.cache

import oxbowlug.record.JobFields
import oxbowlug.record.JobRecord
import oxbowlug.record.Phase
import oxbowlug.record.TaskRanges
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobState
import oxbowlug.wire.JobStatus
import oxbowlug.wire.fields

/**
 * A job as stored in the state service: [version] is the revision at which its record was last written, [done] the
 * number of finished tasks and [placed] the number of tasks with a committed placement. [value] is the whole record; to
 * save memory it is null for a final job without placements.
 */
internal class CachedJob(
    val phase: Phase,
    val version: Long,
    val tasks: Int,
    val done: Int,
    val placed: Int,
    val value: Map<String, Any?>?,
    val kind: JobKind = JobKind.ARRAY,
    /** The job's predecessors; empty once the job is final. */
    val dependsOn: List<JobId> = emptyList(),
    /** Whether the job is cancelled because a predecessor is, while its own stored record doesn't say so yet. */
    val isCancelledByPredecessor: Boolean = false,
    /** Whether the stored record can't be decoded: the job exists, but nothing else is known about it. */
    val isUnreadable: Boolean = false,
) {
    /** The status that is reported to users. */
    fun status(id: JobId): JobStatus =
        when (phase) {
            Phase.DONE -> JobStatus(id, JobState.DONE, tasks, 0)
            Phase.CANCELLED -> JobStatus(id, JobState.CANCELLED, done, 0)
            Phase.ACTIVE -> JobStatus(id, if (placed > 0) JobState.RUNNING else JobState.QUEUED, done, placed)
        }

    /** Copy of this job for which [isCancelledByPredecessor] is true. */
    fun cancelledByPredecessor() =
        CachedJob(
            Phase.CANCELLED,
            version,
            tasks,
            done,
            placed,
            value,
            kind,
            dependsOn,
            isCancelledByPredecessor = true,
        )

    companion object {
        fun unreadable(version: Long) = CachedJob(Phase.ACTIVE, version, 0, 0, 0, null, isUnreadable = true)

        /** Reads a whole record without creating an object for each task. Throws [InvalidField] if it is malformed. */
        fun read(
            value: Map<String, Any?>,
            version: Long,
        ): CachedJob =
            try {
                readFields(value, version)
            } catch (e: RuntimeException) {
                throw InvalidField("record", e.toString())
            }

        private fun readFields(
            value: Map<String, Any?>,
            version: Long,
        ): CachedJob {
            val fields = value.fields()
            val phase = JobRecord.phaseOf(fields)
            val done = TaskRanges.decode(fields.textOrNull(JobFields.DONE, Int.MAX_VALUE).orEmpty()).cardinality()
            val placements = if (fields.has(JobFields.PLACEMENTS)) fields.map(JobFields.PLACEMENTS) else emptyMap()
            val placed =
                placements.values.sumOf { text ->
                    (text as String).split(';').sumOf { attempt ->
                        TaskRanges.decode(attempt.substring(attempt.indexOf(':') + 1)).cardinality()
                    }
                }
            val spec = fields.map(JobFields.SPEC).fields()
            val isValueKept = !phase.isFinal || placed > 0
            return CachedJob(
                phase = phase,
                version = version,
                tasks = spec.count("furrows").toInt(),
                done = done,
                placed = placed,
                value = if (isValueKept) value else null,
                kind = JobSpecCodec.kindOf(spec),
                dependsOn = if (phase.isFinal) emptyList() else JobSpecCodec.predecessorsOf(spec),
            )
        }
    }
}
