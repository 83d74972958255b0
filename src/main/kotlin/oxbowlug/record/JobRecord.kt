package oxbowlug.record

import oxbowlug.wire.Fields
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobSpec
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.MachineId
import oxbowlug.wire.fields
import java.util.BitSet

/** Where a task is placed, and the number of its attempt. */
internal data class Placement(
    val machine: MachineId,
    val attempt: Long,
)

/** What the state service holds of a job. Done tasks and placements are written as ranges of task numbers. */
internal class JobRecord(
    val spec: JobSpec,
    val submittedMs: Long,
    val phase: Phase,
    val done: BitSet,
    val nextAttempt: Long,
    val placements: Map<Int, Placement>,
    /** The id of the write, so that its author recognizes its own change when the answer was lost. */
    val writeId: String,
    /** By the time of day, when its user was about to be told; a later leader counts the time allowed from there. */
    val cancelledMs: Long? = null,
    /** In how many parts it is stored beside its head. */
    val partCount: Int = 0,
) {
    fun encode(): Map<String, Any?> {
        val map = LinkedHashMap<String, Any?>()
        map[JobFields.SPEC] = JobSpecCodec.encode(spec)
        map[JobFields.SUBMITTED_AT] = submittedMs
        map[JobFields.PHASE] = phase.wire
        if (!done.isEmpty) map[JobFields.DONE] = TaskRanges.encode(done)
        map[JobFields.NEXT_ATTEMPT] = nextAttempt
        if (placements.isNotEmpty()) map[JobFields.PLACEMENTS] = encodePlacements()
        map[JobFields.WRITE_ID] = writeId
        if (cancelledMs != null) map[CANCELLED_AT] = cancelledMs
        return map
    }

    /** `{"machine": "attempt:tasks;attempt:tasks"}`: one entry a machine however many tasks it has. */
    private fun encodePlacements(): Map<String, Any?> {
        val byMachine = LinkedHashMap<String, LinkedHashMap<Long, BitSet>>()
        for ((task, placement) in placements) {
            byMachine
                .getOrPut(placement.machine.value) { LinkedHashMap() }
                .getOrPut(placement.attempt) { BitSet() }
                .set(task)
        }
        return byMachine.mapValues { (_, attempts) ->
            attempts.entries.joinToString(";") { (attempt, tasks) -> "$attempt:${TaskRanges.encode(tasks)}" }
        }
    }

    companion object {
        const val MAX_SPEC_BYTES = 2048
        const val MAX_MACHINE_BYTES = 48
        const val MAX_PLACEMENT_BYTES = 12
        const val CANCELLED_AT = "cancelled"

        fun decode(value: Map<String, Any?>): JobRecord {
            val fields = value.fields()
            return JobRecord(
                spec = JobSpecCodec.decode(fields.map(JobFields.SPEC)),
                submittedMs = fields.count(JobFields.SUBMITTED_AT),
                phase = phaseOf(fields),
                done = TaskRanges.decode(fields.textOrNull(JobFields.DONE, Int.MAX_VALUE).orEmpty()),
                nextAttempt = fields.count(JobFields.NEXT_ATTEMPT),
                placements = decodePlacements(fields),
                writeId = fields.text(JobFields.WRITE_ID),
                cancelledMs = if (fields.has(CANCELLED_AT)) fields.count(CANCELLED_AT) else null,
                partCount = RecordLayout.partCount(value),
            )
        }

        fun phaseOf(fields: Fields): Phase {
            val text = fields.text(JobFields.PHASE)
            return Phase.entries.firstOrNull { it.wire == text } ?: throw InvalidField(JobFields.PHASE, "is unknown")
        }

        private fun decodePlacements(fields: Fields): Map<Int, Placement> {
            if (!fields.has(JobFields.PLACEMENTS)) return emptyMap()
            val result = LinkedHashMap<Int, Placement>()
            for ((machine, text) in fields.map(JobFields.PLACEMENTS)) {
                for (part in (text as String).split(';')) {
                    val colon = part.indexOf(':')
                    val placement = Placement(MachineId(machine), part.substring(0, colon).toLong())
                    TaskRanges.decode(part.substring(colon + 1)).stream().forEach { result[it] = placement }
                }
            }
            return result
        }
    }
}
