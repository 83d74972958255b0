package oxbowlug.http

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import oxbowlug.config.Address
import oxbowlug.wire.Cbor
import oxbowlug.wire.MalformedBody

/** The outcome of an HTTP call. */
internal sealed interface CallResult {
    /** The server answered with [status], whatever it is. */
    class Answered(
        val status: Int,
        private val bytes: ByteArray,
    ) : CallResult {
        /**
         * The decoded body, or null if it isn't a CBOR map; clients treat a successful answer without it as no answer.
         */
        val body: Map<String, Any?>? by lazy(LazyThreadSafetyMode.NONE) {
            try {
                Cbor.decode(bytes)
            } catch (_: MalformedBody) {
                null
            }
        }
    }

    /** No connection could be obtained, so the request was not sent. */
    data object NotSent : CallResult

    /** The request may have been sent, but no complete answer arrived in time. */
    data object Unanswered : CallResult
}

/**
 * HTTP client for calls with CBOR bodies. Uses up to [maxConnections] keep-alive connections to each address; an idle
 * one is closed after [keepAliveS] seconds. At most [maxQueuedCalls] calls wait for a free connection to the same
 * address; further ones fail with [CallResult.NotSent].
 */
internal class HttpCaller(
    vertx: Vertx,
    maxConnections: Int,
    keepAliveS: Int = KEEP_ALIVE_S,
    maxQueuedCalls: Int = MAX_QUEUED_CALLS,
) {
    private val client =
        vertx
            .httpClientBuilder()
            .with(
                HttpClientOptions()
                    .setKeepAlive(true)
                    .setKeepAliveTimeout(keepAliveS)
                    .setDecompressionSupported(false)
                    .setTcpNoDelay(true),
            ).with(PoolOptions().setHttp1MaxSize(maxConnections).setMaxWaitQueueSize(maxQueuedCalls))
            .build()

    /** Sends a request and waits for the whole answer. Failures are returned as a result, never thrown. */
    suspend fun call(
        address: Address,
        method: HttpMethod,
        path: String,
        body: Map<String, Any?>?,
        timeoutMs: Long,
    ): CallResult {
        val options =
            RequestOptions()
                .setHost(address.host)
                .setPort(address.port)
                .setMethod(method)
                .setURI(path)
                .setConnectTimeout(timeoutMs)
                .setIdleTimeout(timeoutMs)
        val request =
            try {
                client.request(options).coAwait()
            } catch (_: Exception) {
                return CallResult.NotSent
            }
        return try {
            val responseFuture =
                if (body == null) {
                    request.send()
                } else {
                    request.putHeader("content-type", "application/cbor").send(Buffer.buffer(Cbor.encode(body)))
                }
            val response = responseFuture.coAwait()
            CallResult.Answered(response.statusCode(), response.body().coAwait().bytes)
        } catch (_: Exception) {
            request.reset()
            CallResult.Unanswered
        }
    }

    private companion object {
        const val KEEP_ALIVE_S = 60
        const val MAX_QUEUED_CALLS = 256
    }
}
