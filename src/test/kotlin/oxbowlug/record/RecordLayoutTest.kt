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

/** Records split into values of 2 KiB and transactions of 4 changes; sizes are checked as the state service does. */
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
        stored: StoredRecord,
        name: String,
    ) {
        for (value in listOf(stored.head) + stored.parts) {
            val bytes = json.writeValueAsBytes(value).size
            assertTrue(bytes <= limits.valueKb * 1024, "$name: value of $bytes bytes")
            assertTrue(bytes <= value.sizeAsJson(), "$name: sizeAsJson is ${value.sizeAsJson()} for $bytes bytes")
        }
        assertTrue(1 + stored.parts.size <= limits.txnOps, "$name: ${stored.parts.size} parts")
    }

    @Test
    fun `records are split within the limits and merged without loss`() {
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
            val stored = assertNotNull(layout.split(record.encode()), name).let { layout.split(record.encode())!! }
            assertFits(stored, name)
            val parts = stored.parts.map { Cbor.decode(Cbor.encode(it)) }
            val merged = RecordLayout.merge(Cbor.decode(Cbor.encode(stored.head)), parts::getOrNull)
            val read = JobRecord.decode(merged)
            assertEquals(record.placements, read.placements, name)
            assertEquals(record.done, read.done, name)
            assertEquals(record.spec, read.spec, name)
            assertEquals(stored.parts.size, read.partCount, name)
        }
    }

    @Test
    fun `a record that fits one value is stored whole, as by earlier versions`() {
        val record = record(spec, onMachines(0..15, 16)).encode()
        val stored = layout.split(record)
        assertEquals(record, stored?.head)
        assertEquals(emptyList<Any>(), stored?.parts)
    }

    @Test
    fun `a cancellation fits one value, whatever the size of the record and however it was stored`() {
        val cases =
            mapOf(
                "split" to record(spec.copy(tasks = 240), onMachines(0..239, 240), phase = Phase.CANCELLED),
                "the longest names" to record(longestNames, onMachines(0..9, 10), phase = Phase.CANCELLED),
            )
        for ((name, record) in cases) {
            val stored = record.encode() + (RecordLayout.PARTS to 3L) + ("cancelled" to 1_700_000_000_000)
            val head = layout.headOnly(stored)
            assertFits(StoredRecord(head, emptyList()), name)
            assertEquals(Phase.CANCELLED, JobRecord.decode(Cbor.decode(Cbor.encode(head))).phase)
            assertEquals(3, RecordLayout.partCount(head))
        }
        // A record of the largest size that earlier versions wrote is split and cancelled in one transaction.
        val largest = record(spec.copy(tasks = 100_000), onMachines(0..191, 192), phase = Phase.CANCELLED).encode()
        assertFits(layout.split(largest) ?: error("doesn't fit"), "written whole")
    }

    @Test
    fun `a missing or malformed part is an error, not an empty part`() {
        val stored =
            layout.split(record(spec.copy(tasks = 240), onMachines(0..239, 240)).encode()) ?: error("too big")
        assertFalse(stored.parts.isEmpty())
        assertThrows(InvalidField::class.java) { RecordLayout.merge(stored.head) { null } }
        assertThrows(InvalidField::class.java) {
            RecordLayout.merge(stored.head) { index -> if (index == 0) mapOf("run" to 3L) else stored.parts[index] }
        }
    }

    @Test
    fun `a record larger than a transaction isn't split`() {
        assertNull(layout.split(record(spec.copy(tasks = 100_000), onMachines(0..999, 1_000)).encode()))
        val manyPredecessors = spec.copy(dependsOn = List(100) { JobId("a".repeat(90) + it) })
        assertNull(layout.split(record(manyPredecessors).encode()))
        assertNull(RecordLayout(limits.copy(valueKb = 0.2)).split(record(spec).encode()))
    }

    /** A record with as many placements as fit, [perMachine] on each machine, besides the tasks [doneBefore]. */
    private fun fill(
        tasks: Int,
        perMachine: Int,
        doneBefore: BitSet,
    ): JobRecord {
        val job = spec.copy(tasks = tasks)
        val placements = LinkedHashMap<Int, Placement>()
        val from = doneBefore.length()
        while (true) {
            val usage =
                RecordLayout.RecordUsage(
                    tasks,
                    137,
                    TaskRanges.rangeCount(doneBefore),
                    placements.size,
                    placements.values.distinctBy { it.machine }.size,
                    "000000".length,
                )
            val limit = layout.maxAdditionalPlacements(usage)
            val added = minOf(limit, tasks - from - placements.size)
            if (added <= 0) return record(job, placements, doneBefore)
            repeat(added) {
                val task = from + placements.size
                placements[task] = Placement(MachineId("host-%06d".format(task / perMachine)), 136)
            }
        }
    }

    @Test
    fun `as many tasks as may be placed fit, in whatever order they end`() {
        class Case(
            val tasks: Int,
            val perMachine: Int,
            val doneRanges: Int,
            val minPlaced: Int,
        )
        val cases =
            listOf(
                Case(tasks = 240, perMachine = 1, doneRanges = 0, minPlaced = 240),
                Case(tasks = 240, perMachine = 8, doneRanges = 0, minPlaced = 240),
                Case(tasks = 100_000, perMachine = 1, doneRanges = 0, minPlaced = 150),
                Case(tasks = 100_000, perMachine = 64, doneRanges = 0, minPlaced = 300),
                Case(tasks = 100_000, perMachine = 2, doneRanges = 200, minPlaced = 100),
            )
        for (case in cases) {
            val name = "${case.tasks} tasks, ${case.perMachine} a machine, ${case.doneRanges} ranges done"
            val before = BitSet().apply { for (index in 0 until case.doneRanges) set(index * 2) }
            val full = fill(case.tasks, case.perMachine, before)
            assertTrue(full.placements.size >= case.minPlaced, "$name: ${full.placements.size} placed at once")
            // The sets of ended tasks with the largest records: every other task, or all but one of each machine.
            val endPatterns =
                listOf<
                    (
                        Int,
                    ) -> Boolean,
                >({ false }, { it % 2 == 0 }, { it % 2 == 1 }, { it % case.perMachine != 0 })
            for ((index, isEnded) in endPatterns.withIndex()) {
                val ended = full.placements.keys.filter(isEnded)
                val done = (before.clone() as BitSet).apply { ended.forEach(::set) }
                val laterRecord = record(full.spec, full.placements - ended.toSet(), done)
                assertFits(layout.split(laterRecord.encode()) ?: error("$name: pattern $index doesn't fit"), name)
            }
        }
    }
}
