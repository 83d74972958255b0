package oxbowlug.peer

import okio.Buffer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import oxbowlug.port.Cancellation
import oxbowlug.port.CancellationAcknowledgement
import oxbowlug.port.CancellationNotice
import oxbowlug.port.HeartbeatEcho
import oxbowlug.port.PeerHeartbeat
import oxbowlug.record.JobRecord
import oxbowlug.record.Member
import oxbowlug.record.Phase
import oxbowlug.record.Placement
import oxbowlug.wire.Cbor
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.MachineId
import java.util.BitSet

internal class PeerFrameCodecTest {
    private val heartbeat = PeerHeartbeat(Member("n0", "x1"), 7, Member("n1", "y2"), reachesState = true)

    @Test
    fun `heartbeats are decoded wherever the received bytes are split`() {
        val echo = HeartbeatEcho(heartbeat.sender, 41, 3)
        val heartbeats =
            listOf(
                heartbeat,
                heartbeat.copy(leader = null),
                heartbeat.copy(reachesState = false),
                heartbeat.copy(sendTimeMs = 7, echo = echo),
                heartbeat.copy(hasUnacknowledgedCancellations = true),
                heartbeat.copy(mayConfirmCancellations = true),
            )
        val frames = Buffer()
        for (each in heartbeats) frames.writeAll(PeerFrameCodec.encode(each))
        val bytes = frames.readByteArray()
        for (split in 0..bytes.size) {
            val input = Buffer().write(bytes, 0, split)
            val decoded = generateSequence { PeerFrameCodec.decodeNext(input) }.toMutableList()
            input.write(bytes, split, bytes.size - split)
            decoded += generateSequence { PeerFrameCodec.decodeNext(input) }
            assertEquals(heartbeats.map { PeerMessage.Heartbeat(it) }, decoded, "split at $split")
        }
    }

    @Test
    fun `cached images of many machines are encoded as several frames and decoded unchanged`() {
        val cached = listOf(ImageName("a"), ImageName("b"))
        val images = mapOf(MachineId("host-1") to cached, MachineId("host-2") to emptyList())
        assertEquals(
            PeerMessage.Images(images, isFirst = true),
            PeerFrameCodec.decodeNext(PeerFrameCodec.encode(images)),
        )
        val many = (1..1_200).associate { MachineId("host-$it") to List(8) { image -> ImageName("image-$image") } }
        val frames = PeerFrameCodec.encode(many)
        val parts = generateSequence { PeerFrameCodec.decodeNext(frames) }.map { it as PeerMessage.Images }.toList()
        assertEquals(many, parts.map { it.images }.reduce { all, part -> all + part })
        assertEquals(1, parts.count { it.isFirst })
    }

    private val record = Cbor.decode(Cbor.encode(cancelledRecord().encode()))

    private fun cancelledRecord() =
        JobRecord(
            JobSpecCodec.decode(JobSpecCodecTest.valid()),
            5,
            Phase.CANCELLED,
            BitSet(),
            2,
            mapOf(0 to Placement(MachineId("host-1"), 1), 1 to Placement(MachineId("host-2"), 1)),
            "w-1",
            77,
        )

    private fun cancelled(
        value: Map<String, Any?>,
        version: Long = 9,
    ) = PeerFrameCodec.encode(
        CancellationNotice.Cancelled(heartbeat.sender, Cancellation(JobId("run-1"), version, value)),
    )

    @Test
    fun `cancellations and acknowledgements are decoded unchanged`() {
        val notice =
            (PeerFrameCodec.decodeNext(cancelled(record)) as PeerMessage.Notice).notice as CancellationNotice.Cancelled
        assertEquals(heartbeat.sender, notice.sender)
        assertEquals(JobId("run-1"), notice.cancellation.id)
        assertEquals(9L, notice.cancellation.version)
        assertEquals(record, notice.cancellation.value)
        val items =
            listOf(
                CancellationAcknowledgement(JobId("run-1"), true),
                CancellationAcknowledgement(JobId("run-2"), false),
            )
        val acknowledged = CancellationNotice.Acknowledged(heartbeat.sender, items)
        assertEquals(
            acknowledged,
            (PeerFrameCodec.decodeNext(PeerFrameCodec.encode(acknowledged)) as PeerMessage.Notice).notice,
        )
    }

    @Test
    fun `a cancellation with an invalid record or revision is rejected`() {
        // The receiver applies the record to its state cache like one read from the state service. An invalid record
        // could end a running job or revive a finished one there.
        val cases =
            mapOf(
                "another phase" to cancelled(record + ("phase" to "active")),
                "an unknown phase" to cancelled(record + ("phase" to "gone")),
                "no phase" to cancelled(record - "phase"),
                "no job specification" to cancelled(record - "spec"),
                "a malformed placement" to cancelled(record + ("run" to mapOf("host-1" to "1;"))),
                "a placement that isn't a text" to cancelled(record + ("run" to mapOf("host-1" to 3))),
                "revision 0" to cancelled(record, 0),
            )
        for ((name, case) in cases) assertThrows(MalformedFrame::class.java, { PeerFrameCodec.decodeNext(case) }, name)
    }

    @Test
    fun `malformed frames are rejected`() {
        val cases =
            listOf(
                Buffer().writeInt(0),
                Buffer().writeInt(-1),
                Buffer().writeInt(1_000_000),
                Buffer().writeInt(1).writeByte(9),
                Buffer().writeInt(2).writeByte(1).writeByte(0),
                Buffer()
                    .writeInt(4)
                    .writeByte(1)
                    .writeShort(500)
                    .writeByte(1),
            )
        for (case in cases) assertThrows(MalformedFrame::class.java) { PeerFrameCodec.decodeNext(case) }
    }
}
