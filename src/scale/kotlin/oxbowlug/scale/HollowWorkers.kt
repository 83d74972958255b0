package oxbowlug.scale

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientAgent
import io.vertx.core.http.HttpClientConnection
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpConnectOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import oxbowlug.lease.HeartbeatResponse
import oxbowlug.standin.HeartbeatTarget
import oxbowlug.standin.SimWorker
import oxbowlug.wire.Cbor
import oxbowlug.wire.FencingToken
import oxbowlug.wire.InvalidField
import oxbowlug.wire.MalformedBody
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone
import oxbowlug.wire.fields

/** Sends the hollow workers' heartbeats to real controllers; each worker has its own connection. */
internal class HeartbeatConnections(
    vertx: Vertx,
    private val network: Network,
    private val traffic: Traffic,
    private val workerPort: Int,
) {
    private val client: HttpClientAgent = vertx.createHttpClient(
        HttpClientOptions().setKeepAlive(true).setPipelining(false).setTcpNoDelay(true)
            .setDecompressionSupported(false),
    )

    fun targets(number: Int, zone: Zone, controllers: List<ControllerIdentity>): List<HeartbeatTarget> =
        controllers.map { Target(number, zone, it) }

    private inner class Target(number: Int, zone: Zone, private val controller: ControllerIdentity) :
        HeartbeatTarget {
        override val label: String get() = controller.label
        private val workerEnd = Endpoint.Worker(zone)
        private val controllerEnd = Endpoint.Controller(controller)
        private val endpoint = "${WorkerAddresses.host(number, controller.index)}:$workerPort"
        private var connection: HttpClientConnection? = null

        override fun receive(workerHeartbeat: WorkerHeartbeat, answer: (HeartbeatResponse?) -> Unit) {
            val bytes = Cbor.encode(StandInCodec.encodeHeartbeat(workerHeartbeat.copy(endpoint = endpoint)))
            traffic.reports.count(bytes.size, Traffic.REQUEST_HEADER_BYTES)
            network.deliver(workerEnd, controllerEnd) {
                openConnection()
                    .compose { open -> postHeartbeat(open, bytes) }
                    .compose { response -> response.body().map { body -> decode(response, body) } }
                    .onSuccess { decoded -> network.deliver(controllerEnd, workerEnd) { answer(decoded) } }
                    .onFailure {
                        traffic.failedHeartbeats++
                        close()
                        network.deliver(controllerEnd, workerEnd) { answer(null) }
                    }
            }
        }

        private fun openConnection(): Future<HttpClientConnection> {
            connection?.let { return Future.succeededFuture(it) }
            val options = HttpConnectOptions().setHost(controller.clientHost).setPort(controller.clientPort)
                .setConnectTimeout(RESPONSE_TIMEOUT_MS)
            return client.connect(options).onSuccess { opened ->
                connection = opened
                opened.closeHandler { if (connection === opened) connection = null }
            }
        }

        private fun postHeartbeat(open: HttpClientConnection, bytes: ByteArray): Future<HttpClientResponse> {
            val options =
                RequestOptions().setMethod(HttpMethod.POST).setURI("/hello").setIdleTimeout(RESPONSE_TIMEOUT_MS)
            return open.request(options).compose { request ->
                request.putHeader("content-type", "application/cbor").send(Buffer.buffer(bytes))
                    .onFailure { request.reset() }
            }
        }

        private fun decode(response: HttpClientResponse, body: Buffer): HeartbeatResponse? {
            traffic.heartbeatResponses.count(body.length(), Traffic.RESPONSE_HEADER_BYTES)
            val decoded = try {
                StandInCodec.decodeResponse(response.statusCode(), Cbor.decode(body.bytes))
            } catch (_: MalformedBody) {
                null
            } catch (_: InvalidField) {
                null
            }
            when (decoded) {
                is HeartbeatResponse.Redirect -> traffic.redirects++
                HeartbeatResponse.Unavailable -> traffic.unavailable++
                is HeartbeatResponse.Renewed, null -> Unit
            }
            if (decoded !is HeartbeatResponse.Renewed) close()
            return decoded
        }

        /** Called when the worker turns to another controller: else it would keep a connection open to each of them. */
        private fun close() {
            connection?.close()
            connection = null
        }
    }

    private companion object {
        const val RESPONSE_TIMEOUT_MS = 4000L
    }
}

/**
 * Serves `/do` and `/status` for all workers on one socket. The destination address of a connection identifies the
 * worker and the controller that calls it.
 */
internal class WorkerServer(
    private val network: Network,
    private val traffic: Traffic,
    private val topology: Topology,
    private val workerAt: (endpoint: String) -> SimWorker?,
) {
    fun start(vertx: Vertx): Future<*> = vertx.serveCbor(ANY_ADDRESS, topology.ports.workers) { exchange ->
        val host = exchange.request.localAddress().host()
        val controller = WorkerAddresses.controllerOf(host)?.let(topology.controllers::getOrNull)
        if (controller == null) {
            exchange.request.connection().close()
        } else {
            val worker = workerAt(WorkerAddresses.canonical(host, topology.ports.workers))
            if (worker != null && worker.alive) handle(exchange, worker, controller)
        }
    }

    private fun handle(exchange: HttpExchange, worker: SimWorker, controller: ControllerIdentity) {
        traffic.directCommands.count(exchange.bodySize, Traffic.REQUEST_HEADER_BYTES)

        val workerEnd = Endpoint.Worker(worker.zone)
        val controllerEnd = Endpoint.Controller(controller)

        fun reply(status: Int, workerHeartbeat: WorkerHeartbeat) = network.deliver(workerEnd, controllerEnd) {
            val endpoint = "${exchange.request.localAddress().host()}:${topology.ports.workers}"
            val size = exchange.reply(status, StandInCodec.encodeHeartbeat(workerHeartbeat.copy(endpoint = endpoint)))
            traffic.directResponses.count(size, Traffic.RESPONSE_HEADER_BYTES)
        }
        if (exchange.path == "/status") {
            return network.deliver(controllerEnd, workerEnd) { worker.status { reply(HttpStatus.OK, it) } }
        }
        val fields = exchange.body().fields()
        val token = FencingToken(fields.count("brand"))
        val incarnation = fields.count("shift")
        val commands = StandInCodec.decodeCommands(fields)
        network.deliver(controllerEnd, workerEnd) {
            worker.direct(token, incarnation, commands) { workerHeartbeat, executed ->
                reply(if (executed) HttpStatus.OK else HttpStatus.CONFLICT, workerHeartbeat)
            }
        }
    }

    private companion object {
        const val ANY_ADDRESS = "0.0.0.0"
    }
}
