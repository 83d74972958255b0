package oxbowlug.record

import okio.Buffer
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.cache.CachedJob
import oxbowlug.cluster.Job
import oxbowlug.peer.PeerFrameCodec
import oxbowlug.peer.PeerMessage
import oxbowlug.wire.Cbor
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.MachineId
import oxbowlug.wire.Zone
import java.util.BitSet
import java.util.HexFormat

/**
 * Bytes that the version before this data format wrote. During an upgrade both versions serve on each other's data, so
 * they are read here as they are, and what is written before the format is switched on is the same byte by byte.
 */
internal class ProductionDataTest {
    private val written: Map<String, ByteArray> =
        javaClass
            .getResource("/production/format-1.txt")!!
            .readText()
            .lines()
            .filter { it.isNotBlank() && !it.startsWith("#") }
            .associate { line -> line.substringBefore(": ") to HexFormat.of().parseHex(line.substringAfter(": ")) }

    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid())
    private val placements =
        mapOf(
            4 to Placement(MachineId("host-000001"), 2),
            5 to Placement(MachineId("host-000001"), 2),
            6 to Placement(MachineId("host-000001"), 3),
            9 to Placement(MachineId("host-000002"), 3),
        )

    private fun bits(vararg indexes: Int) = BitSet().apply { indexes.forEach(::set) }

    private fun bytes(name: String): ByteArray = written.getValue(name)

    @Test
    fun `records are read and written as before`() {
        val some = bits(0, 1, 2, 8)
        val all = BitSet().apply { set(0, 16) }
        val records =
            mapOf(
                "accepted" to JobRecord(spec, 123, Phase.ACTIVE, bits(), 1, emptyMap(), "n0-x-1"),
                "running" to JobRecord(spec, 123, Phase.ACTIVE, some, 4, placements, "n0-x-2"),
                "done" to JobRecord(spec, 123, Phase.DONE, all, 5, emptyMap(), "n0-x-3"),
                "cancelled" to JobRecord(spec, 123, Phase.CANCELLED, some, 4, placements, "n0-x-2", 456),
                "cancelled and over" to
                    JobRecord(spec, 123, Phase.CANCELLED, bits(0, 1, 2), 4, emptyMap(), "n0-x-4", 456),
            )
        for ((name, record) in records) {
            val stored = bytes("record $name")
            assertArrayEquals(stored, Cbor.encode(record.encode()), name)
            val read = JobRecord.decode(Cbor.decode(stored))
            assertEquals(record.placements, read.placements, name)
            assertArrayEquals(stored, Cbor.encode(read.encode()), name)
            assertEquals(record.phase, CachedJob.read(Cbor.decode(stored), 1).phase, name)
        }
    }

    @Test
    fun `a job writes before the switch what the version before wrote`() {
        val job =
            Job(JobRecord.decode(Cbor.decode(bytes("record running"))), 1).apply {
                restoreAttempts(JobRecord.decode(Cbor.decode(bytes("record running"))))
            }
        assertArrayEquals(bytes("record running"), Cbor.encode(job.record("n0-x-2").encode()))
    }

    @Test
    fun `the leadership record, delegates and members are read and written as before`() {
        val member = Member("n0", "x1")
        val leadership = LeadershipRecord.decode(Cbor.decode(bytes("view")), 3)
        assertEquals(LeadershipRecord(7, oxbowlug.wire.FencingToken(6), member, 3), leadership)
        assertArrayEquals(bytes("view"), Cbor.encode(leadership.encode()))
        val delegates = DelegateAssignments.decode(Cbor.decode(bytes("deputies")), 3)
        assertEquals(mapOf(Zone("a") to member), delegates.byZone)
        assertArrayEquals(bytes("deputies"), Cbor.encode(delegates.encode()))
        assertEquals(mapOf("label" to "n0"), Cbor.decode(bytes("member")))
    }

    @Test
    fun `frames between controllers are read and written as before`() {
        val frames = written.filterKeys { it.startsWith("frame ") }
        assertEquals(4, frames.size)
        for ((name, frame) in frames) {
            val again =
                when (val message = PeerFrameCodec.decodeNext(Buffer().write(frame))) {
                    is PeerMessage.Heartbeat -> PeerFrameCodec.encode(message.heartbeat)
                    is PeerMessage.Notice -> PeerFrameCodec.encode(message.notice)
                    is PeerMessage.Images -> PeerFrameCodec.encode(message.images)
                    null -> error("$name is not whole")
                }
            assertArrayEquals(frame, again.readByteArray(), name)
        }
    }
}
