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
 * One connection to each other controller, over which this one sends its heartbeat. So a controller that lost
 * only the state service learns that another one leads, and redirects its workers.
 */
internal class PeerTransport(
    private val vertx: Vertx,
    private val settings: Settings,
    private val intervalMs: Long,
    private val heartbeat: () -> PeerHeartbeat,
    private val images: () -> Map<MachineId, List<ImageName>>,
    private val onMessage: (PeerMessage) -> Unit,
) : PeerPort {
    private val client = vertx.createNetClient(NetClientOptions().setConnectTimeout((intervalMs * 2).toInt()))
    private val socketByPeer = arrayOfNulls<NetSocket>(settings.peers.size)
    private var rounds = 0L
    private val isConnecting = BooleanArray(settings.peers.size)

    /** Listens for the other controllers, and sends heartbeats from now on. Called once, on the event loop. */
    fun start() {
        vertx
            .createNetServer(NetServerOptions().setHost(settings.peerListen.host).setPort(settings.peerListen.port))
            .connectHandler(::receive)
            .listen()
            .onFailure { log.error("peer listener failed: address={} reason={}", settings.peerListen, it.message) }
        vertx.setPeriodic(intervalMs) {
            // Images change slowly, and their frame is the larger one.
            broadcast(if (rounds++ % ROUNDS_BETWEEN_IMAGES == 0L) images() else emptyMap())
        }
        broadcast()
    }

    /** Sends the heartbeat now. */
    private fun broadcast() = broadcast(emptyMap())

    override fun broadcastHeartbeat() = broadcast()

    /** Lost if there is no connection: whoever needs an acknowledgement sends it again. */
    override fun send(
        label: String,
        notice: CancellationNotice,
    ) {
        val index = settings.peers.indexOfFirst { it.label == label }
        if (index >= 0) write(index, PeerFrameCodec.encode(notice).readByteArray())
    }

    private fun broadcast(imagesByMachine: Map<MachineId, List<ImageName>>) {
        val frames = PeerFrameCodec.encode(heartbeat())
        if (imagesByMachine.isNotEmpty()) frames.writeAll(PeerFrameCodec.encode(imagesByMachine))
        val bytes = frames.readByteArray()
        for (index in settings.peers.indices) write(index, bytes)
    }

    private fun receive(socket: NetSocket) {
        val input = Frames()
        socket.handler { bytes ->
            input.write(bytes.bytes)
            try {
                while (true) onMessage(PeerFrameCodec.decodeNext(input) ?: break)
            } catch (e: MalformedFrame) {
                log.info("peer frame refused: reason={}", e.message)
                socket.close()
            }
        }
        socket.exceptionHandler { }
    }

    private fun write(
        index: Int,
        bytes: ByteArray,
    ) {
        val socket = socketByPeer[index]
        if (socket != null) {
            // A peer that reads nothing any more must not be written to for ever.
            if (socket.writeQueueFull()) {
                socket.close()
            } else {
                socket.write(Buffer.buffer(bytes))
            }
            return
        }
        if (isConnecting[index]) return
        isConnecting[index] = true
        val address: Address = settings.peers[index].address
        client.connect(address.port, address.host).onComplete { result ->
            isConnecting[index] = false
            if (result.succeeded()) {
                val opened = result.result()
                socketByPeer[index] = opened
                opened.closeHandler { if (socketByPeer[index] === opened) socketByPeer[index] = null }
                opened.exceptionHandler { }
                opened.write(Buffer.buffer(PeerFrameCodec.encode(heartbeat()).readByteArray()))
            }
        }
    }

    private companion object {
        const val ROUNDS_BETWEEN_IMAGES = 10L
        val log = LoggerFactory.getLogger("peer")
    }
}
