package oxbowlug.scale

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import oxbowlug.wire.Cbor
import oxbowlug.wire.InvalidField
import oxbowlug.wire.MalformedBody

/** A request to a stand-in, with its whole body, and its answer. */
internal class HttpExchange(val request: HttpServerRequest, private val bytes: ByteArray) {
    val path: String get() = request.path().orEmpty()
    val bodySize: Int get() = bytes.size

    /** Throws [MalformedBody] when it is no CBOR map; an empty body is an empty map. */
    fun body(): Map<String, Any?> = if (bytes.isEmpty()) emptyMap() else Cbor.decode(bytes)

    fun parameter(name: String): String? = request.getParam(name)

    fun reply(status: Int, body: Map<String, Any?>): Int {
        val encoded = Cbor.encode(body)
        if (!request.response().ended()) request.response().setStatusCode(status).end(Buffer.buffer(encoded))
        return encoded.size
    }

    /** A malformed request is answered 400, and [action] must not have changed anything by then. */
    fun rejectingMalformed(action: () -> Unit) {
        try {
            action()
        } catch (e: InvalidField) {
            reply(HttpStatus.BAD_REQUEST, mapOf("error" to e.message))
        } catch (e: MalformedBody) {
            reply(HttpStatus.BAD_REQUEST, mapOf("error" to e.message))
        }
    }
}

/** Serves CBOR on one address. A malformed request is answered 400 at once and changes nothing. */
internal fun Vertx.serveCbor(host: String, port: Int, handler: (HttpExchange) -> Unit): Future<HttpServer> =
    createHttpServer(HttpServerOptions().setHost(host).setPort(port).setTcpNoDelay(true))
        .requestHandler { request ->
            request.body().onSuccess { body ->
                val exchange = HttpExchange(request, body.bytes)
                exchange.rejectingMalformed { handler(exchange) }
            }
        }
        .listen()
