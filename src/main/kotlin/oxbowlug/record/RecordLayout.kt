package oxbowlug.record

import oxbowlug.config.WriteLimits
import oxbowlug.wire.Fields
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.fields
import oxbowlug.wire.sizeAsJson

/** A job's record as it is stored: the head decides everything about the job, the parts hold what has no room there. */
internal class StoredRecord(
    val head: Map<String, Any?>,
    val parts: List<Map<String, Any?>>,
)

/**
 * Splits a job's record into values of at most [limits]. A record that fits is stored whole, as the versions before
 * did. Otherwise the head keeps the specification, the phase and the number of parts, so that a cancellation is one
 * small write; placements, ranges of done tasks, and where needed lists of the specification go to the parts. Head and
 * changed parts are always written in one transaction under the head's version, so no part can follow a cancellation.
 */
internal class RecordLayout(
    limits: WriteLimits,
) {
    private val valueBytes = (limits.valueKb * BYTES_PER_KB).toInt()

    /** The head takes one of a transaction's changes, and a part of the bytes that one may have. */
    private val maxParts = minOf(limits.txnOps - 1, MAX_TRANSACTION_BYTES / valueBytes - 1).coerceIn(0, MAX_PARTS)

    /** Splits a whole [record]. Null when it is larger than one transaction of such values. */
    fun split(record: Map<String, Any?>): StoredRecord? {
        val whole = LinkedHashMap(record)
        whole.remove(PARTS)
        if (whole.sizeAsJson() <= valueBytes) return StoredRecord(whole, emptyList())
        val pieces = ArrayList<Piece>()
        val head = LinkedHashMap(whole)
        head.remove(JobFields.PLACEMENTS)
        head.remove(JobFields.DONE)
        if (head.sizeAsJson() + HEAD_RESERVE > valueBytes) moveSpecLists(head, pieces)
        if (head.sizeAsJson() + HEAD_RESERVE > valueBytes) return null
        addPlacements(whole, pieces)
        addDone(whole, pieces)
        val parts = pack(pieces) ?: return null
        head[PARTS] = parts.size.toLong()
        return StoredRecord(head, parts)
    }

    /**
     * The head alone of a record with the parts that it has in the state service, which stay as they are: a
     * cancellation is written so. Lists of the specification mean nothing to a cancelled job.
     */
    fun headOnly(record: Map<String, Any?>): Map<String, Any?> {
        val head = LinkedHashMap(record)
        head.remove(JobFields.PLACEMENTS)
        head.remove(JobFields.DONE)
        if (head.sizeAsJson() > valueBytes) moveSpecLists(head, ArrayList())
        return head
    }

    /** The figures of a job that decide how many more of its tasks its record has room for. */
    class RecordUsage(
        val tasks: Int,
        val nextAttempt: Long,
        val doneRanges: Int,
        val placed: Int,
        val machines: Int,
        /** The length of the longest machine name less what all names share. */
        val nameBytes: Int,
    )

    /**
     * How many more tasks may be placed, each on a machine of its own, so that the record fits however the tasks end:
     * those of one machine are one short range at first, and may leave a range each.
     */
    fun maxAdditionalPlacements(present: RecordUsage): Int {
        val taskBytes = present.tasks.toString().length
        val rangeBytes = 2 * taskBytes + RANGE_MARKS
        val machineBytes = present.nameBytes + present.nextAttempt.toString().length + MACHINE_MARKS
        val separateMachineBytes = machineBytes + taskBytes + 1
        val usedBytes =
            present.doneRanges * rangeBytes + present.machines * separateMachineBytes +
                (present.placed - present.machines) * rangeBytes
        val largestPiece = machineBytes + RANGES_PER_PIECE * rangeBytes
        val capacity = maxParts * (valueBytes - PART_RESERVE - largestPiece)
        return (capacity - usedBytes) / separateMachineBytes
    }

    private fun moveSpecLists(
        head: LinkedHashMap<String, Any?>,
        pieces: ArrayList<Piece>,
    ) {
        val spec = LinkedHashMap(head.fields().map(JobFields.SPEC))
        for (field in MOVABLE_SPEC_FIELDS) {
            val list = spec.remove(field) ?: continue
            pieces.add(Piece.MovedSpecField(field, list))
        }
        head[JobFields.SPEC] = spec
    }

    private fun addPlacements(
        whole: Map<String, Any?>,
        pieces: ArrayList<Piece>,
    ) {
        val run = whole[JobFields.PLACEMENTS] as? Map<*, *> ?: return
        val prefix = commonPrefix(run.keys.map { it.toString() })
        for ((machine, attempts) in run) {
            for (text in attempts.toString().split(';')) {
                val number = text.substringBefore(':')
                for (ranges in chunks(text.substringAfter(':'))) {
                    pieces.add(
                        Piece.MachineAttempts(prefix, machine.toString().substring(prefix.length), "$number:$ranges"),
                    )
                }
            }
        }
    }

    private fun addDone(
        whole: Map<String, Any?>,
        pieces: ArrayList<Piece>,
    ) {
        val done = whole[JobFields.DONE] as? String ?: return
        for (ranges in chunks(done)) pieces.add(Piece.DoneRanges(ranges))
    }

    private fun pack(pieces: List<Piece>): List<Map<String, Any?>>? {
        val parts = ArrayList<PartBuilder>()
        for (piece in pieces) {
            if (parts.isEmpty() || !parts.last().hasRoomFor(piece)) parts.add(PartBuilder(valueBytes))
            if (!parts.last().hasRoomFor(piece)) return null
            parts.last().add(piece)
        }
        return if (parts.size <= maxParts) parts.map { it.build() } else null
    }

    /** What isn't divided further when a record is split into parts. */
    private sealed interface Piece {
        /** An upper bound of what it adds to a part's JSON. */
        val bytes: Int

        /** A list of the specification that has no room in the head. */
        class MovedSpecField(
            val field: String,
            val list: Any,
        ) : Piece {
            override val bytes get() = field.sizeAsJson() + list.sizeAsJson() + SEPARATORS
        }

        /** Attempts on one machine, as `attempt:tasks`; the machine's name without the common [prefix]. */
        class MachineAttempts(
            val prefix: String,
            val machine: String,
            val attempts: String,
        ) : Piece {
            override val bytes get() = machine.sizeAsJson() + attempts.sizeAsJson() + SEPARATORS
        }

        /** Ranges of done tasks. */
        class DoneRanges(
            val ranges: String,
        ) : Piece {
            override val bytes get() = ranges.length + 1
        }
    }

    /** Collects pieces up to [limit] bytes of JSON. */
    private class PartBuilder(
        private val limit: Int,
    ) {
        private val spec = LinkedHashMap<String, Any?>()
        private val run = LinkedHashMap<String, String>()
        private val done = StringBuilder()
        private var prefix = ""
        private var bytes = PART_RESERVE

        fun hasRoomFor(piece: Piece): Boolean = bytes + piece.bytes <= limit

        fun add(piece: Piece) {
            bytes += piece.bytes
            when (piece) {
                is Piece.MovedSpecField -> spec[piece.field] = piece.list
                is Piece.MachineAttempts -> {
                    prefix = piece.prefix
                    run.merge(piece.machine, piece.attempts) { one, other -> "$one;$other" }
                }
                is Piece.DoneRanges -> {
                    if (done.isNotEmpty()) done.append(',')
                    done.append(piece.ranges)
                }
            }
        }

        fun build(): Map<String, Any?> {
            val part = LinkedHashMap<String, Any?>()
            if (spec.isNotEmpty()) part[JobFields.SPEC] = spec
            if (run.isNotEmpty()) {
                part[PREFIX] = prefix
                part[JobFields.PLACEMENTS] = run
            }
            if (done.isNotEmpty()) part[JobFields.DONE] = done.toString()
            return part
        }
    }

    companion object {
        /** The head's field that says how many parts there are; absent when there is none. */
        const val PARTS = "parts"
        private const val PREFIX = "prefix"
        private val MOVABLE_SPEC_FIELDS = listOf(JobSpecCodec.DEPENDS_ON, JobSpecCodec.TYPES)
        private const val BYTES_PER_KB = 1024

        /** A transaction may have 64 KiB; what stands around its values is left room. */
        private const val MAX_TRANSACTION_BYTES = 48 * 1024

        /** More would be written at once too rarely to be worth a longer transaction. */
        private const val MAX_PARTS = 8
        private const val SEPARATORS = 4

        /** The phase, its time and the number of parts may still be added to a head. */
        private const val HEAD_RESERVE = 64

        /** Field names and brackets of a part, with the machines' common prefix. */
        private const val PART_RESERVE = 96
        private const val RANGES_PER_PIECE = 8

        /** A dash and a comma. */
        private const val RANGE_MARKS = 2

        /** Quotes, colons and commas around a machine's name and its tasks. */
        private const val MACHINE_MARKS = 10

        fun partCount(head: Map<String, Any?>): Int = head.fields().countOr(PARTS, 0).toInt()

        /** The whole record of a head and its parts. Throws [InvalidField] if one is missing or can't be read. */
        fun merge(
            head: Map<String, Any?>,
            part: (Int) -> Map<String, Any?>?,
        ): Map<String, Any?> {
            val count = partCount(head)
            if (count == 0) return head
            val spec = LinkedHashMap(head.fields().map(JobFields.SPEC))
            val run = LinkedHashMap<String, Any?>()
            val done = ArrayList<String>()
            for (index in 0 until count) {
                val fields = (part(index) ?: throw InvalidField("parts[$index]", "is missing")).fields()
                if (fields.has(JobFields.SPEC)) spec.putAll(fields.map(JobFields.SPEC))
                if (fields.has(JobFields.PLACEMENTS)) addPlacementsOf(fields, run)
                fields.textOrNull(JobFields.DONE, Int.MAX_VALUE)?.let(done::add)
            }
            val whole = LinkedHashMap(head)
            whole[JobFields.SPEC] = spec
            if (done.isNotEmpty()) whole[JobFields.DONE] = done.joinToString(",")
            if (run.isNotEmpty()) whole[JobFields.PLACEMENTS] = run
            return whole
        }

        private fun addPlacementsOf(
            part: Fields,
            run: LinkedHashMap<String, Any?>,
        ) {
            val prefix = part.textOrNull(PREFIX).orEmpty()
            for ((machine, text) in part.map(JobFields.PLACEMENTS)) {
                val tasks = text as? String ?: throw InvalidField(JobFields.PLACEMENTS, "must hold texts")
                run.merge(prefix + machine, tasks) { one, other -> "$one;$other" }
            }
        }

        /** Up to the last letter that the names share: machines are numbered. */
        fun commonPrefix(names: Collection<String>): String {
            val shared = names.reduceOrNull { one, other -> one.commonPrefixWith(other) }.orEmpty()
            return shared.take(MAX_PREFIX).trimEnd { it.isDigit() }
        }

        private const val MAX_PREFIX = 40

        /** At most so many ranges each, so that one machine with many tasks can be divided between parts. */
        private fun chunks(ranges: String): List<String> =
            ranges.split(',').chunked(RANGES_PER_PIECE).map { it.joinToString(",") }
    }
}
