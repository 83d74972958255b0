package oxbowlug.record

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.cluster.Job
import oxbowlug.wire.Cbor
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.MachineId
import java.util.BitSet

internal class RecordsTest {
    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid())

    private fun bits(vararg indexes: Int) = BitSet().apply { indexes.forEach(::set) }

    @Test
    fun `ranges are written short and read back`() {
        val cases =
            mapOf(
                "" to bits(),
                "0" to bits(0),
                "0-3,7" to bits(0, 1, 2, 3, 7),
                "5,7,9-10" to bits(5, 7, 9, 10),
            )
        for ((text, set) in cases) {
            assertEquals(text, TaskRanges.encode(set))
            assertEquals(set, TaskRanges.decode(text))
            assertTrue(text.length <= TaskRanges.maxEncodedBytes(set))
        }
    }

    @Test
    fun `a record survives the store`() {
        val placements =
            mapOf(
                4 to Placement(MachineId("host-1"), 2),
                5 to Placement(MachineId("host-1"), 2),
                6 to Placement(MachineId("host-1"), 3),
                9 to Placement(MachineId("host-2"), 3),
            )
        val record = JobRecord(spec, 123, Phase.ACTIVE, bits(0, 1, 2), 4, placements, "n-1")
        val read = JobRecord.decode(Cbor.decode(Cbor.encode(record.encode())))
        assertEquals(record.encode(), read.encode())
        assertEquals(placements, read.placements)
    }

    @Test
    fun `a record of 100,000 tasks stays inside its bound however its tasks end`() {
        val big = spec.copy(tasks = 100_000)
        val done = BitSet()
        done.set(0, 99_000)
        for (index in 99_000 until 99_400 step 2) done.set(index)
        val placements = (99_401 until 99_600).associateWith { Placement(MachineId("host-%06d".format(it % 64)), 999L) }
        val record = JobRecord(big, 123, Phase.ACTIVE, done, 1000, placements, "n-1")
        val size = Cbor.encode(record.encode()).size
        val job = Job(record, 1).apply { restoreAttempts(record) }
        assertTrue(size <= RecordSize.bound(job), "$size bytes, bound ${RecordSize.bound(job)}")
        assertTrue(RecordSize.bound(job) < 16 * 1024)
    }
}
