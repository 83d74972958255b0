package oxbowlug.peer

import okio.Buffer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import oxbowlug.port.CancellationAcknowledgement
import oxbowlug.port.Cancellation
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
    fun `frames survive being cut anywhere`() {
        val echo = HeartbeatEcho(heartbeat.sender, 41, 3)
        val told =
            listOf(
                heartbeat,
                heartbeat.copy(leader = null),
                heartbeat.copy(reachesState = false),
                heartbeat.copy(sendTimeMs = 7, echo = echo),
                heartbeat.copy(hasUnacknowledgedCancellations = true),
                heartbeat.copy(mayConfirmCancellations = true),
            )
        val frames = Buffer()
        for (each in told) frames.writeAll(PeerFrameCodec.encode(each))
        val whole = frames.readByteArray()
        for (cut in 0..whole.size) {
            val input = Buffer().write(whole, 0, cut)
            val got = generateSequence { PeerFrameCodec.decodeNext(input) }.toMutableList()
            input.write(whole, cut, whole.size - cut)
            got += generateSequence { PeerFrameCodec.decodeNext(input) }
            assertEquals(told.map { PeerMessage.Heartbeat(it) }, got, "cut at $cut")
        }
    }

    @Test
    fun `images come over as they are, in as many frames as they take`() {
        val held = listOf(ImageName("a"), ImageName("b"))
        val images = mapOf(MachineId("host-1") to held, MachineId("host-2") to emptyList())
        assertEquals(PeerMessage.Images(images, isFirst = true), PeerFrameCodec.decodeNext(PeerFrameCodec.encode(images)))
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
    ) = PeerFrameCodec.encode(CancellationNotice.Cancelled(heartbeat.sender, Cancellation(JobId("run-1"), version, value)))

    @Test
    fun `cancellations and their acknowledgements come over whole`() {
        val notice = (PeerFrameCodec.decodeNext(cancelled(record)) as PeerMessage.Notice).notice as CancellationNotice.Cancelled
        assertEquals(heartbeat.sender, notice.sender)
        assertEquals(JobId("run-1"), notice.cancellation.id)
        assertEquals(9L, notice.cancellation.version)
        assertEquals(record, notice.cancellation.value)
        val items = listOf(CancellationAcknowledgement(JobId("run-1"), true), CancellationAcknowledgement(JobId("run-2"), false))
        val said = CancellationNotice.Acknowledged(heartbeat.sender, items)
        assertEquals(said, (PeerFrameCodec.decodeNext(PeerFrameCodec.encode(said)) as PeerMessage.Notice).notice)
    }

    @Test
    fun `a cancellation that isn't one is refused`() {
        // Taken into the copy as if read from the state service, it would end a job or bring one to life.
        val cases =
            mapOf(
                "another phase" to cancelled(record + ("phase" to "active")),
                "an unknown phase" to cancelled(record + ("phase" to "gone")),
                "no phase" to cancelled(record - "phase"),
                "no job" to cancelled(record - "spec"),
                "placements that can't be read" to cancelled(record + ("run" to mapOf("host-1" to "1;"))),
                "placements of another kind" to cancelled(record + ("run" to mapOf("host-1" to 3))),
                "no revision" to cancelled(record, 0),
            )
        for ((name, frame) in cases) assertThrows(MalformedFrame::class.java, { PeerFrameCodec.decodeNext(frame) }, name)
    }

    @Test
    fun `what isn't a frame is refused`() {
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
