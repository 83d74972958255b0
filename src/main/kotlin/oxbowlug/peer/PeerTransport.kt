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
import okio.Buffer as FrameBuffer

/**
 * Sends and receives the messages between controllers, over TCP. Each controller opens one connection to each of the
 * others and uses it for sending only: heartbeats at an interval of [intervalMs], cancellation notices and cached
 * images.
 *
 * Without these heartbeats, a controller that has lost only its connection to the state service wouldn't learn that
 * another one has become leader, and couldn't redirect its workers to it.
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

    /** The open connections, by the index of the peer in the settings. */
    private val sockets = arrayOfNulls<NetSocket>(settings.peers.size)
    private var periodicBroadcasts = 0L
    private val isConnecting = BooleanArray(settings.peers.size)

    /** Starts to listen for the other controllers and to send heartbeats. Called once, on the event loop. */
    fun start() {
        vertx
            .createNetServer(NetServerOptions().setHost(settings.peerListen.host).setPort(settings.peerListen.port))
            .connectHandler(::acceptConnection)
            .listen()
            .onFailure { log.error("peer listener failed: address={} reason={}", settings.peerListen, it.message) }
        vertx.setPeriodic(intervalMs) {
            // Cached images change slowly and need large frames, so only some of the broadcasts carry them.
            broadcast(if (periodicBroadcasts++ % BROADCASTS_PER_IMAGES == 0L) images() else emptyMap())
        }
        broadcast()
    }

    private fun broadcast() = broadcast(emptyMap())

    override fun broadcastHeartbeat() = broadcast()

    /** The notice is dropped if there is no connection to the peer yet. */
    override fun send(
        label: String,
        notice: CancellationNotice,
    ) {
        val index = settings.peers.indexOfFirst { it.label == label }
        if (index >= 0) sendTo(index, PeerFrameCodec.encode(notice).readByteArray())
    }

    private fun broadcast(imagesByMachine: Map<MachineId, List<ImageName>>) {
        val frames = PeerFrameCodec.encode(heartbeat())
        if (imagesByMachine.isNotEmpty()) frames.writeAll(PeerFrameCodec.encode(imagesByMachine))
        val bytes = frames.readByteArray()
        for (index in settings.peers.indices) sendTo(index, bytes)
    }

    private fun acceptConnection(socket: NetSocket) {
        val input = FrameBuffer()
        socket.handler { received ->
            input.write(received.bytes)
            try {
                while (true) onMessage(PeerFrameCodec.decodeNext(input) ?: break)
            } catch (e: MalformedFrame) {
                log.info("peer frame refused: reason={}", e.message)
                socket.close()
            }
        }
        // A connection error closes the socket, and the peer opens a new connection.
        socket.exceptionHandler { }
    }

    /** Sends [bytes] if the connection is open; otherwise drops them and opens the connection. */
    private fun sendTo(
        index: Int,
        bytes: ByteArray,
    ) {
        val socket = sockets[index]
        if (socket != null) {
            // The peer has stopped reading. Closing the connection keeps the write queue from growing without limit;
            // the next message opens a new one.
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
                val openedSocket = result.result()
                sockets[index] = openedSocket
                openedSocket.closeHandler { if (sockets[index] === openedSocket) sockets[index] = null }
                openedSocket.exceptionHandler { }
                openedSocket.write(Buffer.buffer(PeerFrameCodec.encode(heartbeat()).readByteArray()))
            }
        }
    }

    private companion object {
        /** Every tenth periodic broadcast carries the cached images. */
        const val BROADCASTS_PER_IMAGES = 10L
        val log = LoggerFactory.getLogger("peer")
    }
}
