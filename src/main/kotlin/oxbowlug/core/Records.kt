package oxbowlug.core

import oxbowlug.wire.Fields
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobSpec
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.MachineId
import oxbowlug.wire.Token
import oxbowlug.wire.fields
import java.util.BitSet

/** The keys under which this service keeps its state. */
object Keys {
    const val ROOT = "ox/"
    const val JOBS = "ox/j/"

    /** The view and the members, so that one read brings both. */
    const val ROSTER = "ox/r/"
    const val VIEW = "ox/r/view"
    const val MEMBERS = "ox/r/m/"
    const val DELEGATES = "ox/r/deputies"

    /** Parts of jobs whose records don't fit one value: the job's id, a slash and the part's number. */
    const val PARTS = "ox/p/"

    /** What each controller's version reads, by label, kept without a lease: its end doesn't make it unknown. */
    const val FORMATS = "ox/f/"

    /** The layout that all controllers read; absent while one of them may read single values only. */
    const val FORMAT = "ox/format"

    fun job(id: String): String = JOBS + id

    fun part(id: String, index: Int): String = "$PARTS$id/$index"

    fun format(label: String): String = FORMATS + label

    fun memberOf(key: String): Member? {
        val dot = key.lastIndexOf('.')
        return if (dot <= MEMBERS.length) null else Member(key.substring(MEMBERS.length, dot), key.substring(dot + 1))
    }

    fun member(member: Member): String = "$MEMBERS${member.label}.${member.incarnation}"
}

/** One life of a controller process: a restarted one is never mistaken for its earlier self. */
data class Member(val label: String, val incarnation: String)

/**
 * Names for rentals and writes, none of which is ever used twice. They are counted for the whole life of the process:
 * counted by a leader's term, a second term of the same life would repeat them, and the cloud would answer a new
 * rental with the machines of an old one of another kind.
 */
class Names(private val self: Member) {
    private var next = 0L

    fun next(): String = "${self.label}-${self.incarnation}-${next++}"
}

/** Who leads. Every change raises [epoch]; [token] is the epoch at which the present leader took over. */
data class View(val epoch: Long, val token: Token, val leader: Member, val version: Long) {
    fun encode(): Map<String, Any?> = mapOf(
        "epoch" to epoch,
        "token" to token.value,
        "leader" to leader.label,
        "incarnation" to leader.incarnation,
    )

    companion object {
        fun decode(value: Map<String, Any?>, version: Long): View {
            val fields = value.fields()
            return View(
                epoch = fields.count("epoch"),
                token = Token(fields.count("token")),
                leader = Member(fields.text("leader"), fields.text("incarnation")),
                version = version,
            )
        }
    }
}

enum class Phase(val wire: String) {
    ACTIVE("active"),
    DONE("done"),
    CANCELLED("cancelled"),
    ;

    val isFinal: Boolean get() = this != ACTIVE
}

data class Placement(val machine: MachineId, val attempt: Long)

/** What the state service holds of a job. Done tasks and placements are written as ranges of task numbers. */
class JobRecord(
    val spec: JobSpec,
    val submittedMs: Long,
    val phase: Phase,
    val done: BitSet,
    val nextAttempt: Long,
    val placements: Map<Int, Placement>,
    /** Names the write, so that its author knows its own change again when the answer was lost. */
    val write: String,
    /** By the time of day, when its user was about to be told; a later leader counts the time allowed from there. */
    val cancelledMs: Long? = null,
    /** In how many parts it is stored beside its head. */
    val partCount: Int = 0,
) {
    fun encode(): Map<String, Any?> {
        val map = LinkedHashMap<String, Any?>()
        map["spec"] = JobSpecCodec.encode(spec)
        map["at"] = submittedMs
        map["phase"] = phase.wire
        if (!done.isEmpty) map["done"] = Ranges.encode(done)
        map["next"] = nextAttempt
        if (placements.isNotEmpty()) map["run"] = encodePlacements()
        map["by"] = write
        if (cancelledMs != null) map[CANCELLED_AT] = cancelledMs
        return map
    }

    /** `{"machine": "attempt:tasks;attempt:tasks"}`: one entry a machine however many tasks it has. */
    private fun encodePlacements(): Map<String, Any?> {
        val byMachine = LinkedHashMap<String, LinkedHashMap<Long, BitSet>>()
        for ((task, placement) in placements) {
            byMachine.getOrPut(placement.machine.value) { LinkedHashMap() }
                .getOrPut(placement.attempt) { BitSet() }
                .set(task)
        }
        return byMachine.mapValues { (_, attempts) ->
            attempts.entries.joinToString(";") { (attempt, tasks) -> "$attempt:${Ranges.encode(tasks)}" }
        }
    }

    companion object {
        const val SPEC_BOUND = 2048
        const val MACHINE_BOUND = 48
        const val PLACEMENT_BOUND = 12
        const val CANCELLED_AT = "cancelled"

        fun decode(value: Map<String, Any?>): JobRecord {
            val fields = value.fields()
            return JobRecord(
                spec = JobSpecCodec.decode(fields.map("spec")),
                submittedMs = fields.count("at"),
                phase = phaseOf(fields),
                done = Ranges.decode(fields.textOrNull("done", Int.MAX_VALUE).orEmpty()),
                nextAttempt = fields.count("next"),
                placements = if (fields.has("run")) decodePlacements(fields.map("run")) else emptyMap(),
                write = fields.text("by"),
                cancelledMs = if (fields.has(CANCELLED_AT)) fields.count(CANCELLED_AT) else null,
                partCount = RecordLayout.partCount(value),
            )
        }

        fun phaseOf(fields: Fields): Phase {
            val text = fields.text("phase")
            return Phase.entries.firstOrNull { it.wire == text } ?: throw InvalidField("phase", "is unknown")
        }

        private fun decodePlacements(map: Map<String, Any?>): Map<Int, Placement> {
            val result = LinkedHashMap<Int, Placement>()
            for ((machine, text) in map) {
                for (part in (text as String).split(';')) {
                    val colon = part.indexOf(':')
                    val placement = Placement(MachineId(machine), part.substring(0, colon).toLong())
                    Ranges.decode(part.substring(colon + 1)).stream().forEach { result[it] = placement }
                }
            }
            return result
        }
    }
}

/** Sets of task numbers as text: `0-3,7`. */
object Ranges {
    const val RANGE_BOUND = 14

    fun encode(set: BitSet): String = buildString {
        var from = set.nextSetBit(0)
        while (from >= 0) {
            val end = set.nextClearBit(from)
            if (isNotEmpty()) append(',')
            append(from)
            if (end - 1 > from) append('-').append(end - 1)
            from = set.nextSetBit(end)
        }
    }

    fun decode(text: String): BitSet {
        val set = BitSet()
        if (text.isEmpty()) return set
        for (part in text.split(',')) {
            val dash = part.indexOf('-')
            if (dash < 0) {
                set.set(part.toInt())
            } else {
                set.set(part.substring(0, dash).toInt(), part.substring(dash + 1).toInt() + 1)
            }
        }
        return set
    }

    fun sizeBound(set: BitSet): Int = count(set) * RANGE_BOUND

    fun count(set: BitSet): Int {
        var ranges = 0
        var from = set.nextSetBit(0)
        while (from >= 0) {
            ranges++
            from = set.nextSetBit(set.nextClearBit(from))
        }
        return ranges
    }
}
