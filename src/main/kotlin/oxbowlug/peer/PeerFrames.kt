package oxbowlug.peer

import okio.Buffer
import okio.EOFException
import oxbowlug.core.Member
import oxbowlug.core.PeerNews

/** A frame that isn't one of ours. */
class MalformedFrame(message: String) : Exception(message)

/** Frames between controllers: a length of four bytes, a kind, and its fields, each text with its length before it. */
object PeerFrames {
    private const val NEWS = 1
    private const val MAX_FRAME = 4096
    private const val MAX_TEXT = 200

    fun encode(news: PeerNews): Buffer {
        val payload = Buffer()
        payload.writeByte(NEWS)
        payload.member(news.sender)
        payload.writeLong(news.epoch)
        payload.writeByte(if (news.leader == null) 0 else 1)
        news.leader?.let { payload.member(it) }
        val frame = Buffer()
        frame.writeInt(payload.size.toInt())
        frame.writeAll(payload)
        return frame
    }

    /** The next whole frame of [input], or null until more has come. */
    fun next(input: Buffer): PeerNews? {
        if (input.size < Int.SIZE_BYTES) return null
        val length = input.peek().readInt()
        if (length !in 1..MAX_FRAME) throw MalformedFrame("a frame of $length bytes")
        if (input.size < Int.SIZE_BYTES + length) return null
        input.skip(Int.SIZE_BYTES.toLong())
        val payload = Buffer()
        payload.write(input, length.toLong())
        return try {
            decode(payload)
        } catch (_: EOFException) {
            throw MalformedFrame("a frame ends early")
        }
    }

    private fun decode(payload: Buffer): PeerNews {
        val kind = payload.readByte().toInt()
        if (kind != NEWS) throw MalformedFrame("a frame of unknown kind $kind")
        val sender = payload.member()
        val epoch = payload.readLong()
        if (epoch < 0) throw MalformedFrame("a negative epoch")
        val leader = if (payload.readByte().toInt() == 0) null else payload.member()
        return PeerNews(sender, epoch, leader)
    }

    private fun Buffer.member(member: Member) {
        text(member.label)
        text(member.incarnation)
    }

    private fun Buffer.member(): Member = Member(text(), text())

    private fun Buffer.text(text: String) {
        val bytes = text.encodeToByteArray()
        writeShort(bytes.size)
        write(bytes)
    }

    private fun Buffer.text(): String {
        val length = readShort().toInt()
        if (length !in 1..MAX_TEXT) throw MalformedFrame("a text of $length bytes")
        return readUtf8(length.toLong())
    }
}
