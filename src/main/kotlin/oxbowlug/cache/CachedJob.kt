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
 * A job as the state service has it. [done] counts its finished tasks, [placed] those with a committed placement.
 * [value], the whole record, is kept only while the job isn't final or still has placements.
 */
internal class CachedJob(
    val phase: Phase,
    val version: Long,
    val tasks: Int,
    val done: Int,
    val placed: Int,
    val value: Map<String, Any?>?,
    val kind: JobKind = JobKind.ARRAY,
    /** Kept only while the job isn't final. */
    val dependsOn: List<JobId> = emptyList(),
    /** Cancelled because a predecessor is, while its own record doesn't say so yet. */
    val isCancelledByPredecessor: Boolean = false,
    /** Its record can't be read: the job is known, and nothing else about it. */
    val isUnreadable: Boolean = false,
) {
    /** What users are told of it. */
    fun status(id: JobId): JobStatus =
        when (phase) {
            Phase.DONE -> JobStatus(id, JobState.DONE, tasks, 0)
            Phase.CANCELLED -> JobStatus(id, JobState.CANCELLED, done, 0)
            Phase.ACTIVE -> JobStatus(id, if (placed > 0) JobState.RUNNING else JobState.QUEUED, done, placed)
        }

    /** This job, cancelled because a predecessor is; its record doesn't say so yet. */
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

        /** Counts tasks without unfolding ranges into objects. Throws [InvalidField] if the record can't be read. */
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
            val run = if (fields.has(JobFields.PLACEMENTS)) fields.map(JobFields.PLACEMENTS) else emptyMap()
            val placed =
                run.values.sumOf { text ->
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
