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

/** What became of a call. */
internal sealed interface CallResult {
    class Answered(
        val status: Int,
        private val bytes: ByteArray,
    ) : CallResult {
        /** Null when the body is not a CBOR map: such an answer counts as none. */
        val body: Map<String, Any?>? by lazy(LazyThreadSafetyMode.NONE) {
            try {
                Cbor.decode(bytes)
            } catch (_: MalformedBody) {
                null
            }
        }
    }

    /** The connection was never opened. */
    data object NotSent : CallResult

    data object Unanswered : CallResult
}

/** Calls with CBOR bodies over connections that stay open for [keepAliveS]; at most [maxQueuedCalls] calls wait for one. */
internal class HttpCaller(
    vertx: Vertx,
    connections: Int,
    keepAliveS: Int = KEEP_ALIVE_S,
    maxQueuedCalls: Int = MAX_WAITING,
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
            ).with(PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(maxQueuedCalls))
            .build()

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
            val sending =
                if (body == null) {
                    request.send()
                } else {
                    request.putHeader("content-type", "application/cbor").send(Buffer.buffer(Cbor.encode(body)))
                }
            val response = sending.coAwait()
            CallResult.Answered(response.statusCode(), response.body().coAwait().bytes)
        } catch (_: Exception) {
            request.reset()
            CallResult.Unanswered
        }
    }

    private companion object {
        const val KEEP_ALIVE_S = 60
        const val MAX_WAITING = 256
    }
}
