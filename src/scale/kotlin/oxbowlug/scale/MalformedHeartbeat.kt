package oxbowlug.scale

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait

/** A worker's report that can't be read. */
internal object MalformedHeartbeat {
    val CLIENT_ERRORS = 400..499
    private const val TIMEOUT_MS = 2_000L

    /** The status with which a controller answers it, in one request of its own. */
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
