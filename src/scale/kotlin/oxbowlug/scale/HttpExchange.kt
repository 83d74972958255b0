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

/** A request to a stand-in, with its complete body, and the response to it. */
internal class HttpExchange(val request: HttpServerRequest, private val bytes: ByteArray) {
    val path: String get() = request.path().orEmpty()
    val bodySize: Int get() = bytes.size

    /** Decodes the body; an empty one is an empty map. Throws [MalformedBody] if it isn't a CBOR map. */
    fun body(): Map<String, Any?> = if (bytes.isEmpty()) emptyMap() else Cbor.decode(bytes)

    fun parameter(name: String): String? = request.getParam(name)

    fun reply(status: Int, body: Map<String, Any?>): Int {
        val encoded = Cbor.encode(body)
        if (!request.response().ended()) request.response().setStatusCode(status).end(Buffer.buffer(encoded))
        return encoded.size
    }

    /** Answers 400 if [action] finds the request malformed; [action] must not have changed anything by then. */
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

/** Serves CBOR on one address. Answers a malformed request with 400; it changes nothing. */
internal fun Vertx.serveCbor(host: String, port: Int, handler: (HttpExchange) -> Unit): Future<HttpServer> =
    createHttpServer(HttpServerOptions().setHost(host).setPort(port).setTcpNoDelay(true))
        .requestHandler { request ->
            request.body().onSuccess { body ->
                val exchange = HttpExchange(request, body.bytes)
                exchange.rejectingMalformed { handler(exchange) }
            }
        }
        .listen()
