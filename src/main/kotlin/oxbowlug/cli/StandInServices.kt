package oxbowlug.cli

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import oxbowlug.wire.Cbor

/**
 * A minimal state service, cloud and worker on one port, with which a controller can be elected and place a task. Only
 * [ClassArchiveWarmUp] uses it: the conditions of transactions are not checked, and leases never expire.
 */
internal class StandInServices(
    private val vertx: Vertx,
) {
    private class StoredValue(
        val value: Any?,
        val revision: Long,
    )

    private val store = sortedMapOf<String, StoredValue>()
    private var revision = 0L

    /** Starts the server and returns its port, which serves all three. */
    fun start(): Future<Int> =
        vertx
            .createHttpServer()
            .requestHandler { request -> request.body().onSuccess { answer(request, it.bytes) } }
            .listen(0, "127.0.0.1")
            .map { it.actualPort() }

    private fun answer(
        request: HttpServerRequest,
        body: ByteArray,
    ) {
        val path = request.path()
        when {
            path == "/holds" -> reply(request, mapOf("tether" to 1L))
            path.startsWith("/holds/") -> reply(request, emptyMap())
            path == "/store" -> reply(request, page(request.getParam("prefix").orEmpty()))
            path == "/commit" -> reply(request, commit(Cbor.decode(body)))
            path == "/changes" -> changes(request)
            path == "/machine_types" -> reply(request, mapOf("breeds" to listOf(MACHINE_TYPE)))
            path == "/rentals" -> reply(request, mapOf("herd" to listOf(listedMachine(request)), "more" to false))
            path == "/do" || path == "/status" -> reply(request, heartbeat(0, request.localAddress().port()))
            else -> reply(request, emptyMap())
        }
    }

    private fun page(prefix: String): Map<String, Any?> {
        val entries =
            store.filterKeys { it.startsWith(prefix) }.map { (key, stored) ->
                mapOf("key" to key, "value" to stored.value, "mark" to stored.revision)
            }
        return mapOf("entries" to entries, "more" to false, "ledger" to revision)
    }

    private fun commit(transaction: Map<String, Any?>): Map<String, Any?> {
        revision++
        for (change in transaction["then"] as List<*>) {
            val fields = change as Map<*, *>
            val key = fields["set"] ?: continue
            store[key as String] = StoredValue(fields["value"], revision)
        }
        return mapOf("ledger" to revision)
    }

    private fun changes(request: HttpServerRequest) {
        val from = request.getParam("from").orEmpty().toLong()
        val isWatch = request.getParam("block_ms") != "0"
        val events =
            store.filterValues { it.revision > from }.map { (key, stored) ->
                mapOf("set" to key, "value" to stored.value, "mark" to stored.revision)
            }
        val body = mapOf("ledger" to revision, "events" to events)
        if (events.isEmpty() && isWatch) vertx.setTimer(WATCH_MS) { reply(request, body) } else reply(request, body)
    }

    private fun listedMachine(request: HttpServerRequest) =
        mapOf(
            "id" to MACHINE,
            "endpoint" to "127.0.0.1:${request.localAddress().port()}",
            "breed" to TYPE,
            "paddock" to ZONE,
            "stray" to false,
            "stance" to "running",
            "age_s" to 100.0,
        )

    private fun reply(
        request: HttpServerRequest,
        body: Map<String, Any?>,
    ) {
        request.response().end(Buffer.buffer(Cbor.encode(body)))
    }

    companion object {
        private const val WATCH_MS = 100L
        private const val MACHINE = "host-1"
        private const val TYPE = "any-type"
        private const val ZONE = "here"
        private val MACHINE_TYPE =
            mapOf(
                "label" to TYPE,
                "cores" to 64.0,
                "gpus" to 8.0,
                "mem_gb" to 256.0,
                "local_gb" to 800.0,
                "pull_gb_per_s" to 1.0,
                "price" to 20.0,
                "low_price" to 8.0,
                "ready_s" to 60.0,
                "paddocks" to listOf(ZONE),
            )

        /** A heartbeat of the worker with sequence number [sequence]. */
        fun heartbeat(
            sequence: Int,
            port: Int,
        ): Map<String, Any?> =
            mapOf(
                "beast" to MACHINE,
                "endpoint" to "127.0.0.1:$port",
                "breed" to TYPE,
                "paddock" to ZONE,
                "stray" to false,
                "shift" to 1L,
                "tally" to sequence.toLong(),
                "brand" to 0L,
                "whistle_s" to null,
                "furrows" to listOf(mapOf("furrow" to "other-job/0", "try" to 1L, "stance" to "running")),
            )

        /** The specification of a service whose tasks need one GPU each. */
        fun job(id: String): Map<String, Any?> =
            mapOf(
                "id" to id,
                "harness" to "any",
                "yoke" to "all",
                "gait" to "standing",
                "urgency" to "prod",
                "furrows" to 2L,
                "cores" to 4.0,
                "gpus" to 1.0,
                "mem_gb" to 16.0,
                "seedbag" to "image",
                "pull_gb" to 1.0,
                "breeds" to null,
                "paddock" to null,
                "same_place" to false,
                "scatter" to false,
                "stray" to false,
                "haul_s" to 0.0,
                "rest_s" to 0.0,
                "stow_s" to 0.0,
                "dusk_s" to null,
            )
    }
}
