package oxbowlug.scale

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait

/** A heartbeat whose body isn't CBOR. */
internal object MalformedHeartbeat {
    val CLIENT_ERRORS = 400..499
    private const val TIMEOUT_MS = 2_000L

    /** Sends the malformed heartbeat and returns the status of the controller's response. */
    suspend fun send(vertx: Vertx, controller: ControllerIdentity): Int {
        val client = vertx.createHttpClient()
        val options = RequestOptions().setMethod(HttpMethod.POST).setURI("/hello")
            .setHost(controller.clientHost).setPort(controller.clientPort).setIdleTimeout(TIMEOUT_MS)
        try {
            return client.request(options).coAwait().send(Buffer.buffer("no CBOR map")).coAwait().statusCode()
        } finally {
            client.close()
        }
    }
}
