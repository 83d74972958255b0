package oxbowlug.peer

import okio.Buffer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import oxbowlug.core.Echo
import oxbowlug.core.Member
import oxbowlug.core.PeerNews
import oxbowlug.wire.ImageName
import oxbowlug.wire.MachineId

class PeerFramesTest {
    private val news = PeerNews(Member("n0", "x1"), 7, Member("n1", "y2"), seesState = true)

    @Test
    fun `frames survive being cut anywhere`() {
        val echo = Echo(news.sender, 41, 3)
        val told =
            listOf(news, news.copy(leader = null), news.copy(seesState = false), news.copy(atMs = 7, echo = echo))
        val frames = Buffer()
        for (each in told) frames.writeAll(PeerFrames.encode(each))
        val whole = frames.readByteArray()
        for (cut in 0..whole.size) {
            val input = Buffer().write(whole, 0, cut)
            val got = generateSequence { PeerFrames.next(input) }.toMutableList()
            input.write(whole, cut, whole.size - cut)
            got += generateSequence { PeerFrames.next(input) }
            assertEquals(told.map { PeerMessage.News(it) }, got, "cut at $cut")
        }
    }

    @Test
    fun `images come over as they are, in as many frames as they take`() {
        val held = listOf(ImageName("a"), ImageName("b"))
        val images = mapOf(MachineId("host-1") to held, MachineId("host-2") to emptyList())
        assertEquals(PeerMessage.Images(images, isFirst = true), PeerFrames.next(PeerFrames.encode(images)))
        val many = (1..1_200).associate { MachineId("host-$it") to List(8) { image -> ImageName("image-$image") } }
        val frames = PeerFrames.encode(many)
        val parts = generateSequence { PeerFrames.next(frames) }.map { it as PeerMessage.Images }.toList()
        assertEquals(many, parts.map { it.images }.reduce { all, part -> all + part })
        assertEquals(1, parts.count { it.isFirst })
    }

    @Test
    fun `what isn't a frame is refused`() {
        val cases = listOf(
            Buffer().writeInt(0),
            Buffer().writeInt(-1),
            Buffer().writeInt(1_000_000),
            Buffer().writeInt(1).writeByte(9),
            Buffer().writeInt(2).writeByte(1).writeByte(0),
            Buffer().writeInt(4).writeByte(1).writeShort(500).writeByte(1),
        )
        for (case in cases) assertThrows(MalformedFrame::class.java) { PeerFrames.next(case) }
    }
}
