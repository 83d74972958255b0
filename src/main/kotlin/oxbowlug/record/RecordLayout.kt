package oxbowlug.record

import oxbowlug.config.WriteLimits
import oxbowlug.wire.Fields
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.fields
import oxbowlug.wire.sizeAsJson

/** A job's record as it is stored: every write includes [head], which has the phase; [parts] hold what doesn't fit. */
internal class StoredRecord(
    val head: Map<String, Any?>,
    val parts: List<Map<String, Any?>>,
)

/**
 * Splits a job's record into values that comply with [limits]. A record that fits one value is stored whole, as earlier
 * software versions did. Otherwise the head keeps the specification, the phase and the number of parts, so that a
 * cancellation is one small write; the parts hold placements, ranges of done tasks and, if the head is still too large,
 * lists of the specification. Head and changed parts are always written in one transaction that compares the head's
 * version, so no part can be written after a cancellation.
 */
internal class RecordLayout(
    limits: WriteLimits,
) {
    private val valueBytes = (limits.valueKb * BYTES_PER_KB).toInt()

    /** The head takes one of the changes of a transaction, and one value's share of its bytes. */
    private val maxParts = minOf(limits.txnOps - 1, MAX_TRANSACTION_BYTES / valueBytes - 1).coerceIn(0, MAX_PARTS)

    /** Splits a whole [record]. Returns null if it doesn't fit one transaction within the limits. */
    fun split(record: Map<String, Any?>): StoredRecord? {
        val wholeRecord = LinkedHashMap(record)
        wholeRecord.remove(PARTS)
        if (wholeRecord.sizeAsJson() <= valueBytes) return StoredRecord(wholeRecord, emptyList())
        val pieces = ArrayList<Piece>()
        val head = LinkedHashMap(wholeRecord)
        head.remove(JobFields.PLACEMENTS)
        head.remove(JobFields.DONE)
        if (head.sizeAsJson() + HEAD_RESERVE_BYTES > valueBytes) moveSpecLists(head, pieces)
        if (head.sizeAsJson() + HEAD_RESERVE_BYTES > valueBytes) return null
        addPlacements(wholeRecord, pieces)
        addDone(wholeRecord, pieces)
        val parts = pack(pieces) ?: return null
        head[PARTS] = parts.size.toLong()
        return StoredRecord(head, parts)
    }

    /**
     * Returns only the head of a record whose parts in the state service stay unchanged. A cancellation is written this
     * way. If the head is too large, lists of the specification are dropped: a cancelled job doesn't need them.
     */
    fun headOnly(record: Map<String, Any?>): Map<String, Any?> {
        val head = LinkedHashMap(record)
        head.remove(JobFields.PLACEMENTS)
        head.remove(JobFields.DONE)
        if (head.sizeAsJson() > valueBytes) moveSpecLists(head, ArrayList())
        return head
    }

    /** The properties of a job that determine how many more placements fit into its record. */
    class RecordUsage(
        val tasks: Int,
        val nextAttempt: Long,
        val doneRanges: Int,
        val placed: Int,
        val machines: Int,
        /** Length of the longest machine name without the prefix that all names share. */
        val nameBytes: Int,
    )

    /**
     * How many more tasks may be placed, each on a separate machine, so that the record fits in whatever order tasks
     * end. The tasks of one machine may form a single short range at first and one range each later, when tasks between
     * them have ended, so each further task of a machine is counted as a range of its own.
     */
    fun maxAdditionalPlacements(usage: RecordUsage): Int {
        val taskBytes = usage.tasks.toString().length
        val rangeBytes = 2 * taskBytes + RANGE_PUNCTUATION_BYTES
        val machineBytes = usage.nameBytes + usage.nextAttempt.toString().length + MACHINE_PUNCTUATION_BYTES
        val separateMachineBytes = machineBytes + taskBytes + 1
        val usedBytes =
            usage.doneRanges * rangeBytes + usage.machines * separateMachineBytes +
                (usage.placed - usage.machines) * rangeBytes
        val largestPieceBytes = machineBytes + RANGES_PER_PIECE * rangeBytes
        val capacityBytes = maxParts * (valueBytes - PART_RESERVE_BYTES - largestPieceBytes)
        return (capacityBytes - usedBytes) / separateMachineBytes
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
        record: Map<String, Any?>,
        pieces: ArrayList<Piece>,
    ) {
        val placements = record[JobFields.PLACEMENTS] as? Map<*, *> ?: return
        val prefix = commonPrefix(placements.keys.map { it.toString() })
        for ((machine, attempts) in placements) {
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
        record: Map<String, Any?>,
        pieces: ArrayList<Piece>,
    ) {
        val done = record[JobFields.DONE] as? String ?: return
        for (ranges in chunks(done)) pieces.add(Piece.DoneRanges(ranges))
    }

    /** Fills parts with [pieces] in their order. Returns null if a piece is too large or too many parts are needed. */
    private fun pack(pieces: List<Piece>): List<Map<String, Any?>>? {
        val parts = ArrayList<PartBuilder>()
        for (piece in pieces) {
            if (parts.isEmpty() || !parts.last().canAdd(piece)) parts.add(PartBuilder(valueBytes))
            if (!parts.last().canAdd(piece)) return null
            parts.last().add(piece)
        }
        return if (parts.size <= maxParts) parts.map { it.build() } else null
    }

    /** The smallest unit that is moved to a part as a whole. */
    private sealed interface Piece {
        /** Upper bound on the bytes that this piece adds to the JSON of a part. */
        val bytes: Int

        /** A list of the specification that doesn't fit into the head. */
        class MovedSpecField(
            val field: String,
            val list: Any,
        ) : Piece {
            override val bytes get() = field.sizeAsJson() + list.sizeAsJson() + SEPARATOR_BYTES
        }

        /** Attempts on one machine, as `attempt:tasks`; [machine] is its name without the common [prefix]. */
        class MachineAttempts(
            val prefix: String,
            val machine: String,
            val attempts: String,
        ) : Piece {
            override val bytes get() = machine.sizeAsJson() + attempts.sizeAsJson() + SEPARATOR_BYTES
        }

        /** Ranges of done tasks. */
        class DoneRanges(
            val ranges: String,
        ) : Piece {
            override val bytes get() = ranges.length + 1
        }
    }

    /** Builds one part from pieces with a total of at most [limit] bytes of JSON. */
    private class PartBuilder(
        private val limit: Int,
    ) {
        private val spec = LinkedHashMap<String, Any?>()
        private val placements = LinkedHashMap<String, String>()
        private val done = StringBuilder()
        private var prefix = ""
        private var bytes = PART_RESERVE_BYTES

        fun canAdd(piece: Piece): Boolean = bytes + piece.bytes <= limit

        fun add(piece: Piece) {
            bytes += piece.bytes
            when (piece) {
                is Piece.MovedSpecField -> spec[piece.field] = piece.list
                is Piece.MachineAttempts -> {
                    prefix = piece.prefix
                    placements.merge(piece.machine, piece.attempts) { first, second -> "$first;$second" }
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
            if (placements.isNotEmpty()) {
                part[PREFIX] = prefix
                part[JobFields.PLACEMENTS] = placements
            }
            if (done.isNotEmpty()) part[JobFields.DONE] = done.toString()
            return part
        }
    }

    companion object {
        /** The head's field for the number of parts; absent if there are none. */
        const val PARTS = "parts"
        private const val PREFIX = "prefix"
        private val MOVABLE_SPEC_FIELDS = listOf(JobSpecCodec.DEPENDS_ON, JobSpecCodec.TYPES)
        private const val BYTES_PER_KB = 1024

        /** A transaction may have 64 KiB; the rest is reserved for keys, conditions and syntax around the values. */
        private const val MAX_TRANSACTION_BYTES = 48 * 1024

        /** More parts than this would rarely be needed in one write and aren't worth a longer transaction. */
        private const val MAX_PARTS = 8
        private const val SEPARATOR_BYTES = 4

        /** Reserved in a head for fields added later: the phase, the time of a cancellation and the number of parts. */
        private const val HEAD_RESERVE_BYTES = 64

        /** Reserved in a part for field names, brackets and the common prefix of the machine names. */
        private const val PART_RESERVE_BYTES = 96
        private const val RANGES_PER_PIECE = 8

        /** The dash and the comma of a range. */
        private const val RANGE_PUNCTUATION_BYTES = 2

        /** Quotes, colons and commas around the name of a machine and its attempts. */
        private const val MACHINE_PUNCTUATION_BYTES = 10

        fun partCount(head: Map<String, Any?>): Int = head.fields().countOr(PARTS, 0).toInt()

        /** Merges a head and its parts. Throws [InvalidField] if a part is missing or malformed. */
        fun merge(
            head: Map<String, Any?>,
            part: (Int) -> Map<String, Any?>?,
        ): Map<String, Any?> {
            val count = partCount(head)
            if (count == 0) return head
            val spec = LinkedHashMap(head.fields().map(JobFields.SPEC))
            val placements = LinkedHashMap<String, Any?>()
            val done = ArrayList<String>()
            for (index in 0 until count) {
                val fields = (part(index) ?: throw InvalidField("parts[$index]", "is missing")).fields()
                if (fields.has(JobFields.SPEC)) spec.putAll(fields.map(JobFields.SPEC))
                if (fields.has(JobFields.PLACEMENTS)) addPlacementsOf(fields, placements)
                fields.textOrNull(JobFields.DONE, Int.MAX_VALUE)?.let(done::add)
            }
            val wholeRecord = LinkedHashMap(head)
            wholeRecord[JobFields.SPEC] = spec
            if (done.isNotEmpty()) wholeRecord[JobFields.DONE] = done.joinToString(",")
            if (placements.isNotEmpty()) wholeRecord[JobFields.PLACEMENTS] = placements
            return wholeRecord
        }

        private fun addPlacementsOf(
            part: Fields,
            placements: LinkedHashMap<String, Any?>,
        ) {
            val prefix = part.textOrNull(PREFIX).orEmpty()
            for ((machine, text) in part.map(JobFields.PLACEMENTS)) {
                val tasks = text as? String ?: throw InvalidField(JobFields.PLACEMENTS, "must hold texts")
                placements.merge(prefix + machine, tasks) { first, second -> "$first;$second" }
            }
        }

        /** The prefix that all [names] share, without trailing digits, which belong to the machines' numbers. */
        fun commonPrefix(names: Collection<String>): String {
            val shared = names.reduceOrNull { first, second -> first.commonPrefixWith(second) }.orEmpty()
            return shared.take(MAX_PREFIX_LENGTH).trimEnd { it.isDigit() }
        }

        private const val MAX_PREFIX_LENGTH = 40

        /** Groups of at most [RANGES_PER_PIECE] ranges, so that a machine with many tasks can be spread over parts. */
        private fun chunks(ranges: String): List<String> =
            ranges.split(',').chunked(RANGES_PER_PIECE).map { it.joinToString(",") }
    }
}
