package oxbowlug.record

import com.fasterxml.jackson.databind.ObjectMapper
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.config.WriteLimits
import oxbowlug.wire.Cbor
import oxbowlug.wire.ClassName
import oxbowlug.wire.ImageName
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpec
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.MachineId
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName
import oxbowlug.wire.Zone
import oxbowlug.wire.sizeAsJson
import java.util.BitSet

/** Records in values of 2 KiB and transactions of few changes, with every byte counted as the state service does. */
internal class RecordLayoutTest {
    private val json = ObjectMapper()
    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid())
    private val limits = WriteLimits(writeRps = 15.0, valueKb = 2.0, txnOps = 4)
    private val layout = RecordLayout(limits)

    private fun record(
        spec: JobSpec,
        placements: Map<Int, Placement> = emptyMap(),
        done: BitSet = BitSet(),
        phase: Phase = Phase.ACTIVE,
    ) = JobRecord(spec, 1_700_000_000_000, phase, done, 137, placements, "gaul-3-1a2b3c4d-12345")

    private fun onMachines(
        tasks: IntRange,
        machines: Int,
    ) = tasks.associateWith { Placement(MachineId("host-%06d".format(it % machines)), 136) }

    private fun longest(letter: Char) = letter.toString().repeat(80)

    private val longestNames =
        spec.copy(
            id = JobId("i".repeat(100)),
            className = ClassName(longest('c')),
            team = TeamName(longest('t')),
            image = ImageName(longest('m')),
            zone = Zone(longest('z')),
            types = List(16) { TypeName(longest('y').dropLast(2) + "%02d".format(it)) },
            tasks = 100_000,
        )

    private fun assertFits(
        form: StoredRecord,
        name: String,
    ) {
        for (value in listOf(form.head) + form.parts) {
            val bytes = json.writeValueAsBytes(value).size
            assertTrue(bytes <= limits.valueKb * 1024, "$name: a value of $bytes bytes")
            assertTrue(bytes <= value.sizeAsJson(), "$name: counted ${value.sizeAsJson()} of $bytes bytes")
        }
        assertTrue(1 + form.parts.size <= limits.txnOps, "$name: ${form.parts.size} parts")
    }

    @Test
    fun `records are divided within the limits and read back whole`() {
        val alternating = BitSet().apply { for (index in 0 until 240 step 2) set(index) }
        val cases =
            mapOf(
                "accepted" to record(spec),
                "16 tasks on as many machines" to record(spec, onMachines(0..15, 16)),
                "240 tasks on as many machines" to record(spec.copy(tasks = 240), onMachines(0..239, 240)),
                "every other of 240 tasks done" to
                    record(
                        spec.copy(tasks = 240),
                        onMachines(0..239, 240).filterKeys { it % 2 == 1 },
                        alternating,
                    ),
                "many tasks on one machine" to
                    record(
                        spec.copy(tasks = 240),
                        onMachines(0..239, 1).filterKeys { it % 2 == 1 },
                        alternating,
                    ),
                "the longest names" to record(longestNames),
                "the longest names, placed" to record(longestNames, onMachines(99_990..99_999, 10)),
                "many predecessors" to record(spec.copy(dependsOn = List(100) { JobId("run-%06d".format(it)) })),
            )
        for ((name, record) in cases) {
            val form = assertNotNull(layout.split(record.encode()), name).let { layout.split(record.encode())!! }
            assertFits(form, name)
            val parts = form.parts.map { Cbor.decode(Cbor.encode(it)) }
            val merged = RecordLayout.merge(Cbor.decode(Cbor.encode(form.head)), parts::getOrNull)
            val read = JobRecord.decode(merged)
            assertEquals(record.placements, read.placements, name)
            assertEquals(record.done, read.done, name)
            assertEquals(record.spec, read.spec, name)
            assertEquals(form.parts.size, read.partCount, name)
        }
    }

    @Test
    fun `a record that fits is stored as the version before did`() {
        val record = record(spec, onMachines(0..15, 16)).encode()
        val form = layout.split(record)
        assertEquals(record, form?.head)
        assertEquals(emptyList<Any>(), form?.parts)
    }

    @Test
    fun `a cancellation fits one value, whatever the record's size and however it was stored`() {
        val cases =
            mapOf(
                "divided" to record(spec.copy(tasks = 240), onMachines(0..239, 240), phase = Phase.CANCELLED),
                "the longest names" to record(longestNames, onMachines(0..9, 10), phase = Phase.CANCELLED),
            )
        for ((name, record) in cases) {
            val stored = record.encode() + (RecordLayout.PARTS to 3L) + ("cancelled" to 1_700_000_000_000)
            val head = layout.headOnly(stored)
            assertFits(StoredRecord(head, emptyList()), name)
            assertEquals(Phase.CANCELLED, JobRecord.decode(Cbor.decode(Cbor.encode(head))).phase)
            assertEquals(3, RecordLayout.partCount(head))
        }
        // As large as the version before wrote records: divided, and cancelled in one transaction.
        val old = record(spec.copy(tasks = 100_000), onMachines(0..191, 192), phase = Phase.CANCELLED).encode()
        assertFits(layout.split(old) ?: error("doesn't fit"), "written whole")
    }

    @Test
    fun `a part that is missing or malformed is never read as empty`() {
        val form = layout.split(record(spec.copy(tasks = 240), onMachines(0..239, 240)).encode()) ?: error("fits")
        assertFalse(form.parts.isEmpty())
        assertThrows(InvalidField::class.java) { RecordLayout.merge(form.head) { null } }
        assertThrows(InvalidField::class.java) {
            RecordLayout.merge(form.head) { index -> if (index == 0) mapOf("run" to 3L) else form.parts[index] }
        }
    }

    @Test
    fun `what is larger than a transaction isn't divided`() {
        assertNull(layout.split(record(spec.copy(tasks = 100_000), onMachines(0..999, 1_000)).encode()))
        val many = spec.copy(dependsOn = List(100) { JobId("a".repeat(90) + it) })
        assertNull(layout.split(record(many).encode()))
        assertNull(RecordLayout(limits.copy(valueKb = 0.2)).split(record(spec).encode()))
    }

    /** As many tasks as there is room for, [perMachine] on each machine, on top of what was done before. */
    private fun fill(
        tasks: Int,
        perMachine: Int,
        doneBefore: BitSet,
    ): JobRecord {
        val job = spec.copy(tasks = tasks)
        val placements = LinkedHashMap<Int, Placement>()
        val from = doneBefore.length()
        while (true) {
            val occupancy =
                RecordLayout.RecordUsage(
                    tasks,
                    137,
                    TaskRanges.rangeCount(doneBefore),
                    placements.size,
                    placements.values.distinctBy { it.machine }.size,
                    "000000".length,
                )
            val room = layout.maxAdditionalPlacements(occupancy)
            val next = minOf(room, tasks - from - placements.size)
            if (next <= 0) return record(job, placements, doneBefore)
            repeat(next) {
                val task = from + placements.size
                placements[task] = Placement(MachineId("host-%06d".format(task / perMachine)), 136)
            }
        }
    }

    @Test
    fun `what there is room for fits, however its tasks end`() {
        class Case(
            val tasks: Int,
            val perMachine: Int,
            val doneRanges: Int,
            val atLeast: Int,
        )
        val cases =
            listOf(
                Case(tasks = 240, perMachine = 1, doneRanges = 0, atLeast = 240),
                Case(tasks = 240, perMachine = 8, doneRanges = 0, atLeast = 240),
                Case(tasks = 100_000, perMachine = 1, doneRanges = 0, atLeast = 150),
                Case(tasks = 100_000, perMachine = 64, doneRanges = 0, atLeast = 300),
                Case(tasks = 100_000, perMachine = 2, doneRanges = 200, atLeast = 100),
            )
        for (case in cases) {
            val name = "${case.tasks} tasks, ${case.perMachine} a machine, ${case.doneRanges} ranges done"
            val before = BitSet().apply { for (index in 0 until case.doneRanges) set(index * 2) }
            val full = fill(case.tasks, case.perMachine, before)
            assertTrue(full.placements.size >= case.atLeast, "$name: ${full.placements.size} at once")
            // The worst ends: every other task, or all but one of each machine.
            val ends =
                listOf<
                    (
                        Int,
                    ) -> Boolean,
                >({ false }, { it % 2 == 0 }, { it % 2 == 1 }, { it % case.perMachine != 0 })
            for ((index, end) in ends.withIndex()) {
                val ended = full.placements.keys.filter(end)
                val done = (before.clone() as BitSet).apply { ended.forEach(::set) }
                val later = record(full.spec, full.placements - ended.toSet(), done)
                assertFits(layout.split(later.encode()) ?: error("$name: end $index doesn't fit"), name)
            }
        }
    }
}
