package oxbowlug.peer

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetClientOptions
import io.vertx.core.net.NetServerOptions
import io.vertx.core.net.NetSocket
import org.slf4j.LoggerFactory
import oxbowlug.config.Address
import oxbowlug.config.Settings
import oxbowlug.port.CancellationNotice
import oxbowlug.port.PeerHeartbeat
import oxbowlug.port.PeerPort
import oxbowlug.wire.ImageName
import oxbowlug.wire.MachineId
import okio.Buffer as Frames

/**
 * One connection to each other controller, over which this one tells its newest view. So a controller that lost
 * only the state service learns that it was succeeded, and sends its workers on.
 */
internal class PeerLink(
    private val vertx: Vertx,
    private val settings: Settings,
    private val everyMs: Long,
    private val heartbeat: () -> PeerHeartbeat,
    private val images: () -> Map<MachineId, List<ImageName>>,
    private val heard: (PeerMessage) -> Unit,
) : PeerPort {
    private val client = vertx.createNetClient(NetClientOptions().setConnectTimeout((everyMs * 2).toInt()))
    private val outgoing = arrayOfNulls<NetSocket>(settings.peers.size)
    private var round = 0L
    private val connecting = BooleanArray(settings.peers.size)

    fun start() {
        vertx
            .createNetServer(NetServerOptions().setHost(settings.peerListen.host).setPort(settings.peerListen.port))
            .connectHandler(::receive)
            .listen()
            .onFailure { log.error("peer listener failed: address={} reason={}", settings.peerListen, it.message) }
        vertx.setPeriodic(everyMs) {
            // Images change slowly, and their frame is the larger one.
            tellAll(if (round++ % IMAGES_EVERY == 0L) images() else emptyMap())
        }
        tellAll()
    }

    /** Tells the newest view now. */
    private fun tellAll() = tellAll(emptyMap())

    override fun heartbeatChanged() = tellAll()

    /** Lost if there is no connection: whoever needs an acknowledgement says it again. */
    override fun send(
        label: String,
        notice: CancellationNotice,
    ) {
        val index = settings.peers.indexOfFirst { it.label == label }
        if (index >= 0) tell(index, PeerFrames.encode(notice).readByteArray())
    }

    private fun tellAll(held: Map<MachineId, List<ImageName>>) {
        val frames = PeerFrames.encode(heartbeat())
        if (held.isNotEmpty()) frames.writeAll(PeerFrames.encode(held))
        val bytes = frames.readByteArray()
        for (index in settings.peers.indices) tell(index, bytes)
    }

    private fun receive(socket: NetSocket) {
        val input = Frames()
        socket.handler { bytes ->
            input.write(bytes.bytes)
            try {
                while (true) heard(PeerFrames.next(input) ?: break)
            } catch (e: MalformedFrame) {
                log.info("peer frame refused: reason={}", e.message)
                socket.close()
            }
        }
        socket.exceptionHandler { }
    }

    private fun tell(
        index: Int,
        bytes: ByteArray,
    ) {
        val socket = outgoing[index]
        if (socket != null) {
            // A peer that reads nothing any more must not be written to for ever.
            if (socket.writeQueueFull()) {
                socket.close()
            } else {
                socket.write(Buffer.buffer(bytes))
            }
            return
        }
        if (connecting[index]) return
        connecting[index] = true
        val address: Address = settings.peers[index].address
        client.connect(address.port, address.host).onComplete { result ->
            connecting[index] = false
            if (result.succeeded()) {
                val opened = result.result()
                outgoing[index] = opened
                opened.closeHandler { if (outgoing[index] === opened) outgoing[index] = null }
                opened.exceptionHandler { }
                opened.write(Buffer.buffer(PeerFrames.encode(heartbeat()).readByteArray()))
            }
        }
    }

    private companion object {
        const val IMAGES_EVERY = 10L
        val log = LoggerFactory.getLogger("peer")
    }
}
