package oxbowlug.peer

import okio.Buffer
import okio.EOFException
import oxbowlug.port.Cancellation
import oxbowlug.port.CancellationAcknowledgement
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

/** A received frame violates the protocol; the receiver closes the connection. */
internal class MalformedFrame(
    message: String,
) : Exception(message)

/** The messages that controllers send to one another, each in a frame. */
internal sealed interface PeerMessage {
    data class Heartbeat(
        val heartbeat: PeerHeartbeat,
    ) : PeerMessage

    /** A committed cancellation, or acknowledgements of cancellations. */
    class Notice(
        val notice: CancellationNotice,
    ) : PeerMessage

    /**
     * Part of the leader's map from machines to the images cached on them. The first part replaces all parts that the
     * receiver got before, the following ones add to it.
     */
    data class Images(
        val images: Map<MachineId, List<ImageName>>,
        val isFirst: Boolean,
    ) : PeerMessage
}

/**
 * Encodes and decodes the frames between controllers. A frame is a length of four bytes, a kind of one byte, and the
 * fields of that kind. Strings are UTF-8 with a length of two bytes before them.
 */
internal object PeerFrameCodec {
    // Frame kinds.
    private const val HEARTBEAT = 1
    private const val IMAGES = 2
    private const val CANCELLED = 3
    private const val ACKNOWLEDGED = 4

    private const val MAX_FRAME_BYTES = 64 * 1024
    private const val MAX_TEXT_BYTES = 200
    private const val MACHINES_PER_FRAME = 200

    /** Encodes [heartbeat] as one frame. */
    fun encode(heartbeat: PeerHeartbeat): Buffer {
        val payload = Buffer()
        payload.writeByte(HEARTBEAT)
        payload.writeMember(heartbeat.sender)
        payload.writeLong(heartbeat.epoch)
        payload.writeByte(if (heartbeat.reachesState) 1 else 0)
        payload.writeByte(if (heartbeat.leader == null) 0 else 1)
        heartbeat.leader?.let { payload.writeMember(it) }
        payload.writeLong(heartbeat.sendTimeMs)
        payload.writeByte(if (heartbeat.echo == null) 0 else 1)
        heartbeat.echo?.let { echo ->
            payload.writeMember(echo.leader)
            payload.writeLong(echo.sendTimeMs)
            payload.writeLong(echo.renewals)
        }
        payload.writeByte(if (heartbeat.hasUnacknowledgedCancellations) 1 else 0)
        payload.writeByte(if (heartbeat.mayConfirmCancellations) 1 else 0)
        return withLengthPrefix(payload)
    }

    /** Encodes [notice] as one frame. */
    fun encode(notice: CancellationNotice): Buffer {
        val payload = Buffer()
        when (notice) {
            is CancellationNotice.Cancelled -> {
                payload.writeByte(CANCELLED)
                payload.writeMember(notice.sender)
                payload.writeText(notice.cancellation.id.value)
                payload.writeLong(notice.cancellation.version)
                payload.write(Cbor.encode(notice.cancellation.value))
            }
            is CancellationNotice.Acknowledged -> {
                payload.writeByte(ACKNOWLEDGED)
                payload.writeMember(notice.sender)
                payload.writeInt(notice.items.size)
                for (item in notice.items) {
                    payload.writeText(item.id.value)
                    payload.writeByte(if (item.isTerminationProven) 1 else 0)
                }
            }
        }
        return withLengthPrefix(payload)
    }

    /** Encodes [images] as one or more frames, because the images of a large fleet exceed the maximum frame size. */
    fun encode(images: Map<MachineId, List<ImageName>>): Buffer {
        val frames = Buffer()
        for ((index, machines) in images.entries.chunked(MACHINES_PER_FRAME).withIndex()) {
            val payload = encodeImages(machines, isFirst = index == 0)
            // Cached images only help the next leader's placement, so a part that exceeds the frame size is left out.
            if (payload.size <= MAX_FRAME_BYTES) frames.writeAll(withLengthPrefix(payload))
        }
        return frames
    }

    private fun encodeImages(
        machines: List<Map.Entry<MachineId, List<ImageName>>>,
        isFirst: Boolean,
    ): Buffer {
        val payload = Buffer()
        payload.writeByte(IMAGES)
        payload.writeByte(if (isFirst) 1 else 0)
        payload.writeInt(machines.size)
        for ((machine, cached) in machines) {
            payload.writeText(machine.value)
            payload.writeShort(cached.size)
            for (image in cached) payload.writeText(image.value)
        }
        return payload
    }

    private fun withLengthPrefix(payload: Buffer): Buffer {
        val frame = Buffer()
        frame.writeInt(payload.size.toInt())
        frame.writeAll(payload)
        return frame
    }

    /** Removes the next frame from [input] and decodes it; null if [input] doesn't hold a whole frame yet. */
    fun decodeNext(input: Buffer): PeerMessage? {
        if (input.size < Int.SIZE_BYTES) return null
        val length = input.peek().readInt()
        if (length !in 1..MAX_FRAME_BYTES) throw MalformedFrame("frame length out of range: $length bytes")
        if (input.size < Int.SIZE_BYTES + length) return null
        input.skip(Int.SIZE_BYTES.toLong())
        val payload = Buffer()
        payload.write(input, length.toLong())
        return try {
            decode(payload)
        } catch (_: EOFException) {
            throw MalformedFrame("truncated frame")
        }
    }

    private fun decode(payload: Buffer): PeerMessage =
        when (val kind = payload.readByte().toInt()) {
            HEARTBEAT -> PeerMessage.Heartbeat(decodeHeartbeat(payload))
            IMAGES -> decodeImages(payload)
            CANCELLED -> PeerMessage.Notice(decodeCancelled(payload))
            ACKNOWLEDGED -> PeerMessage.Notice(decodeAcknowledged(payload))
            else -> throw MalformedFrame("unknown frame kind $kind")
        }

    private fun decodeImages(payload: Buffer): PeerMessage.Images {
        val isFirst = payload.readByte().toInt() != 0
        val count = payload.readInt()
        if (count !in 0..MAX_FRAME_BYTES) throw MalformedFrame("machine count out of range: $count")
        val images = HashMap<MachineId, List<ImageName>>()
        repeat(count) {
            val machine = MachineId(payload.readText())
            images[machine] = List(payload.readShort().toInt().coerceAtLeast(0)) { ImageName(payload.readText()) }
        }
        return PeerMessage.Images(images, isFirst)
    }

    private fun decodeHeartbeat(payload: Buffer): PeerHeartbeat {
        val sender = payload.readMember()
        val epoch = payload.readLong()
        if (epoch < 0) throw MalformedFrame("negative epoch")
        val reachesState = payload.readByte().toInt() != 0
        val leader = if (payload.readByte().toInt() == 0) null else payload.readMember()
        val sendTimeMs = payload.readLong()
        val hasEcho = payload.readByte().toInt() != 0
        val echo = if (hasEcho) HeartbeatEcho(payload.readMember(), payload.readLong(), payload.readLong()) else null
        val hasUnacknowledgedCancellations = payload.readByte().toInt() != 0
        val mayConfirmCancellations = payload.readByte().toInt() != 0
        return PeerHeartbeat(
            sender,
            epoch,
            leader,
            reachesState,
            sendTimeMs,
            echo,
            hasUnacknowledgedCancellations,
            mayConfirmCancellations,
        )
    }

    private fun decodeCancelled(payload: Buffer): CancellationNotice.Cancelled {
        val sender = payload.readMember()
        val id = payload.readJobId()
        val version = payload.readLong()
        if (version <= 0) throw MalformedFrame("record revision isn't positive: $version")
        val value = decodeCancelledRecord(id, payload.readByteArray())
        return CancellationNotice.Cancelled(sender, Cancellation(id, version, value))
    }

    /**
     * The receiver applies the record like one that it read from the state service, so the record is only accepted if
     * all of it decodes as a cancelled job.
     */
    private fun decodeCancelledRecord(
        id: JobId,
        bytes: ByteArray,
    ): Map<String, Any?> {
        val problem =
            try {
                val value = Cbor.decode(bytes)
                if (JobRecord.decode(value).phase == Phase.CANCELLED) return value
                "the job isn't cancelled"
            } catch (e: MalformedBody) {
                e.message
            } catch (e: InvalidField) {
                e.message
            } catch (e: RuntimeException) {
                e.javaClass.simpleName
            }
        throw MalformedFrame("invalid record of job $id: $problem")
    }

    private fun decodeAcknowledged(payload: Buffer): CancellationNotice.Acknowledged {
        val sender = payload.readMember()
        val count = payload.readInt()
        if (count !in 0..MAX_FRAME_BYTES) throw MalformedFrame("acknowledgement count out of range: $count")
        val items =
            List(count) {
                CancellationAcknowledgement(
                    payload.readJobId(),
                    isTerminationProven = payload.readByte().toInt() != 0,
                )
            }
        return CancellationNotice.Acknowledged(sender, items)
    }

    private fun Buffer.readJobId(): JobId {
        val text = readText()
        if (!JobId.isValid(text)) throw MalformedFrame("invalid job id")
        return JobId(text)
    }

    private fun Buffer.writeMember(member: Member) {
        writeText(member.label)
        writeText(member.incarnation)
    }

    private fun Buffer.readMember(): Member = Member(readText(), readText())

    private fun Buffer.writeText(text: String) {
        val bytes = text.encodeToByteArray()
        writeShort(bytes.size)
        write(bytes)
    }

    private fun Buffer.readText(): String {
        val length = readShort().toInt()
        if (length !in 1..MAX_TEXT_BYTES) throw MalformedFrame("text length out of range: $length bytes")
        return readUtf8(length.toLong())
    }
}
