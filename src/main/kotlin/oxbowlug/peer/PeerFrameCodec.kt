package oxbowlug.peer

import okio.Buffer
import okio.EOFException
import oxbowlug.port.CancellationAcknowledgement
import oxbowlug.port.Cancellation
import oxbowlug.port.CancellationNotice
import oxbowlug.port.HeartbeatEcho
import oxbowlug.port.PeerHeartbeat
import oxbowlug.record.JobRecord
import oxbowlug.record.Member
import oxbowlug.record.Phase
import oxbowlug.wire.Cbor
import oxbowlug.wire.ImageName
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineId
import oxbowlug.wire.MalformedBody

/** A frame that violates the protocol: the connection it came over is closed. */
internal class MalformedFrame(
    message: String,
) : Exception(message)

/** What controllers send to one another. */
internal sealed interface PeerMessage {
    data class Heartbeat(
        val heartbeat: PeerHeartbeat,
    ) : PeerMessage

    /** A cancellation, or its acknowledgement. */
    class Notice(
        val notice: CancellationNotice,
    ) : PeerMessage

    /** A part of the images that the leader knows on its machines; the first part replaces what was sent before. */
    data class Images(
        val images: Map<MachineId, List<ImageName>>,
        val isFirst: Boolean,
    ) : PeerMessage
}

/** Frames between controllers: a length of four bytes, a kind, and its fields, each text with its length before it. */
internal object PeerFrameCodec {
    private const val HEARTBEAT = 1
    private const val IMAGES = 2
    private const val CANCELLED = 3
    private const val ACKNOWLEDGED = 4
    private const val MAX_FRAME = 64 * 1024
    private const val MAX_TEXT = 200
    private const val MACHINES_A_FRAME = 200

    /** One frame. */
    fun encode(heartbeat: PeerHeartbeat): Buffer {
        val payload = Buffer()
        payload.writeByte(HEARTBEAT)
        payload.member(heartbeat.sender)
        payload.writeLong(heartbeat.epoch)
        payload.writeByte(if (heartbeat.reachesState) 1 else 0)
        payload.writeByte(if (heartbeat.leader == null) 0 else 1)
        heartbeat.leader?.let { payload.member(it) }
        payload.writeLong(heartbeat.sendTimeMs)
        payload.writeByte(if (heartbeat.echo == null) 0 else 1)
        heartbeat.echo?.let { echo ->
            payload.member(echo.leader)
            payload.writeLong(echo.sendTimeMs)
            payload.writeLong(echo.renewals)
        }
        payload.writeByte(if (heartbeat.hasUnacknowledgedCancellations) 1 else 0)
        payload.writeByte(if (heartbeat.mayConfirmCancellations) 1 else 0)
        return framed(payload)
    }

    fun encode(notice: CancellationNotice): Buffer {
        val payload = Buffer()
        when (notice) {
            is CancellationNotice.Cancelled -> {
                payload.writeByte(CANCELLED)
                payload.member(notice.sender)
                payload.text(notice.cancellation.id.value)
                payload.writeLong(notice.cancellation.version)
                payload.write(Cbor.encode(notice.cancellation.value))
            }
            is CancellationNotice.Acknowledged -> {
                payload.writeByte(ACKNOWLEDGED)
                payload.member(notice.sender)
                payload.writeInt(notice.items.size)
                for (item in notice.items) {
                    payload.text(item.id.value)
                    payload.writeByte(if (item.isTerminationProven) 1 else 0)
                }
            }
        }
        return framed(payload)
    }

    /** In as many frames as it takes: a large fleet's images don't fit into one. */
    fun encode(images: Map<MachineId, List<ImageName>>): Buffer {
        val frames = Buffer()
        for ((index, part) in images.entries.chunked(MACHINES_A_FRAME).withIndex()) {
            val frame = encodePart(part, isFirst = index == 0)
            // It is only a hint, so a part that is too large is left out.
            if (frame.size <= MAX_FRAME) frames.writeAll(framed(frame))
        }
        return frames
    }

    private fun encodePart(
        part: List<Map.Entry<MachineId, List<ImageName>>>,
        isFirst: Boolean,
    ): Buffer {
        val payload = Buffer()
        payload.writeByte(IMAGES)
        payload.writeByte(if (isFirst) 1 else 0)
        payload.writeInt(part.size)
        for ((machine, cached) in part) {
            payload.text(machine.value)
            payload.writeShort(cached.size)
            for (image in cached) payload.text(image.value)
        }
        return payload
    }

    private fun framed(payload: Buffer): Buffer {
        val frame = Buffer()
        frame.writeInt(payload.size.toInt())
        frame.writeAll(payload)
        return frame
    }

    /** The next whole frame of [input], or null until more has come. */
    fun decodeNext(input: Buffer): PeerMessage? {
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

    private fun decode(payload: Buffer): PeerMessage =
        when (val kind = payload.readByte().toInt()) {
            HEARTBEAT -> PeerMessage.Heartbeat(decodeHeartbeat(payload))
            IMAGES -> decodeImages(payload)
            CANCELLED -> PeerMessage.Notice(decodeCancelled(payload))
            ACKNOWLEDGED -> PeerMessage.Notice(decodeAcknowledged(payload))
            else -> throw MalformedFrame("a frame of unknown kind $kind")
        }

    private fun decodeImages(payload: Buffer): PeerMessage.Images {
        val isFirst = payload.readByte().toInt() != 0
        val count = payload.readInt()
        if (count !in 0..MAX_FRAME) throw MalformedFrame("$count machines")
        val images = HashMap<MachineId, List<ImageName>>()
        repeat(count) {
            val machine = MachineId(payload.text())
            images[machine] = List(payload.readShort().toInt().coerceAtLeast(0)) { ImageName(payload.text()) }
        }
        return PeerMessage.Images(images, isFirst)
    }

    private fun decodeHeartbeat(payload: Buffer): PeerHeartbeat {
        val sender = payload.member()
        val epoch = payload.readLong()
        if (epoch < 0) throw MalformedFrame("a negative epoch")
        val reachesState = payload.readByte().toInt() != 0
        val leader = if (payload.readByte().toInt() == 0) null else payload.member()
        val sendTimeMs = payload.readLong()
        val hasEcho = payload.readByte().toInt() != 0
        val echo = if (hasEcho) HeartbeatEcho(payload.member(), payload.readLong(), payload.readLong()) else null
        val hasUnacknowledgedCancellations = payload.readByte().toInt() != 0
        val mayConfirmCancellations = payload.readByte().toInt() != 0
        return PeerHeartbeat(sender, epoch, leader, reachesState, sendTimeMs, echo, hasUnacknowledgedCancellations, mayConfirmCancellations)
    }

    private fun decodeCancelled(payload: Buffer): CancellationNotice.Cancelled {
        val sender = payload.member()
        val id = payload.jobId()
        val version = payload.readLong()
        if (version <= 0) throw MalformedFrame("a record of revision $version")
        val value = record(id, payload.readByteArray())
        return CancellationNotice.Cancelled(sender, Cancellation(id, version, value))
    }

    /** Applied as if it came from the state service, so it has to be a record in every part. */
    private fun record(
        id: JobId,
        bytes: ByteArray,
    ): Map<String, Any?> {
        val problem =
            try {
                val value = Cbor.decode(bytes)
                if (JobRecord.decode(value).phase == Phase.CANCELLED) return value
                "it isn't cancelled"
            } catch (e: MalformedBody) {
                e.message
            } catch (e: InvalidField) {
                e.message
            } catch (e: RuntimeException) {
                e.javaClass.simpleName
            }
        throw MalformedFrame("the record of $id: $problem")
    }

    private fun decodeAcknowledged(payload: Buffer): CancellationNotice.Acknowledged {
        val sender = payload.member()
        val count = payload.readInt()
        if (count !in 0..MAX_FRAME) throw MalformedFrame("$count acknowledgements")
        val items =
            List(count) { CancellationAcknowledgement(payload.jobId(), isTerminationProven = payload.readByte().toInt() != 0) }
        return CancellationNotice.Acknowledged(sender, items)
    }

    private fun Buffer.jobId(): JobId {
        val text = text()
        if (!JobId.isValid(text)) throw MalformedFrame("a job that can't be one")
        return JobId(text)
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
