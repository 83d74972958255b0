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

/** Brings the reports of hollow workers to real controllers, each worker over a connection of its own. */
internal class ReportConnections(
    vertx: Vertx,
    private val network: Network,
    private val traffic: Traffic,
    private val workerPort: Int,
) {
    private val client: HttpClientAgent = vertx.createHttpClient(
        HttpClientOptions().setKeepAlive(true).setPipelining(false).setTcpNoDelay(true)
            .setDecompressionSupported(false),
    )

    fun targets(number: Int, zone: Zone, controllers: List<ControllerPlace>): List<HeartbeatTarget> =
        controllers.map { Target(number, zone, it) }

    private inner class Target(number: Int, zone: Zone, private val controller: ControllerPlace) :
        HeartbeatTarget {
        override val label: String get() = controller.label
        private val near = Endpoint.Worker(zone)
        private val far = Endpoint.Controller(controller)
        private val endpoint = "${WorkerAddresses.host(number, controller.index)}:$workerPort"
        private var connection: HttpClientConnection? = null

        override fun receive(workerHeartbeat: WorkerHeartbeat, answer: (HeartbeatResponse?) -> Unit) {
            val bytes = Cbor.encode(Wire.encodeReport(workerHeartbeat.copy(endpoint = endpoint)))
            traffic.reports.count(bytes.size, Traffic.REQUEST_HEADER_BYTES)
            network.deliver(near, far) {
                connected()
                    .compose { open -> post(open, bytes) }
                    .compose { response -> response.body().map { body -> decode(response, body) } }
                    .onSuccess { decoded -> network.deliver(far, near) { answer(decoded) } }
                    .onFailure {
                        traffic.failedReports++
                        close()
                        network.deliver(far, near) { answer(null) }
                    }
            }
        }

        private fun connected(): Future<HttpClientConnection> {
            connection?.let { return Future.succeededFuture(it) }
            val options = HttpConnectOptions().setHost(controller.clientHost).setPort(controller.clientPort)
                .setConnectTimeout(ANSWER_MS)
            return client.connect(options).onSuccess { opened ->
                connection = opened
                opened.closeHandler { if (connection === opened) connection = null }
            }
        }

        private fun post(open: HttpClientConnection, bytes: ByteArray): Future<HttpClientResponse> {
            val options = RequestOptions().setMethod(HttpMethod.POST).setURI("/hello").setIdleTimeout(ANSWER_MS)
            return open.request(options).compose { request ->
                request.putHeader("content-type", "application/cbor").send(Buffer.buffer(bytes))
                    .onFailure { request.reset() }
            }
        }

        private fun decode(response: HttpClientResponse, body: Buffer): HeartbeatResponse? {
            traffic.reportAnswers.count(body.length(), Traffic.RESPONSE_HEADER_BYTES)
            val decoded = try {
                Wire.decodeAnswer(response.statusCode(), Cbor.decode(body.bytes))
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

        /** A worker that goes elsewhere closes its connection: kept, each would hold one to every controller. */
        private fun close() {
            connection?.close()
            connection = null
        }
    }

    private companion object {
        const val ANSWER_MS = 4000L
    }
}

/**
 * The workers' own address for `/do` and `/status`. One socket serves all of them: the address to which a connection
 * was opened tells which worker is meant, and by which controller.
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
            if (worker != null && worker.alive) answer(exchange, worker, controller)
        }
    }

    private fun answer(exchange: HttpExchange, worker: SimWorker, controller: ControllerPlace) {
        traffic.directCommands.count(exchange.bodySize, Traffic.REQUEST_HEADER_BYTES)

        val near = Endpoint.Worker(worker.zone)
        val far = Endpoint.Controller(controller)

        fun reply(status: Int, workerHeartbeat: WorkerHeartbeat) = network.deliver(near, far) {
            val endpoint = "${exchange.request.localAddress().host()}:${topology.ports.workers}"
            val size = exchange.reply(status, Wire.encodeReport(workerHeartbeat.copy(endpoint = endpoint)))
            traffic.directAnswers.count(size, Traffic.RESPONSE_HEADER_BYTES)
        }
        if (exchange.path == "/status") {
            return network.deliver(far, near) { worker.status { reply(Status.OK, it) } }
        }
        val fields = exchange.body().fields()
        val token = FencingToken(fields.count("brand"))
        val incarnation = fields.count("shift")
        val commands = Wire.decodeCommands(fields)
        network.deliver(far, near) {
            worker.direct(token, incarnation, commands) { workerHeartbeat, executed ->
                reply(if (executed) Status.OK else Status.CONFLICT, workerHeartbeat)
            }
        }
    }

    private companion object {
        const val ANY_ADDRESS = "0.0.0.0"
    }
}
