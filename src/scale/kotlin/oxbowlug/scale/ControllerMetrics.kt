package oxbowlug.scale

import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait

/** A controller's own figures from `/metrics`: the maxima of the last minute or two, in milliseconds. */
internal data class ControllerMetrics(
    val isLeading: Boolean,
    val longestPlanMs: Double,
    val longestStepMs: Double,
    val latestTickMs: Double,
)

/** Reads the controllers' metrics. A controller that doesn't answer counts as not leading, with figures of 0. */
internal class MetricsReader(vertx: Vertx) {
    private val client = vertx.createHttpClient(HttpClientOptions().setKeepAlive(false))

    suspend fun read(controller: ControllerIdentity): ControllerMetrics {
        val values = try {
            parse(fetch(controller))
        } catch (_: Exception) {
            emptyMap()
        }

        fun millis(name: String) = (values["oxbowlug_${name}_max"] ?: 0.0) * MS_PER_S
        return ControllerMetrics(
            isLeading = values["oxbowlug_leading"] == 1.0,
            longestPlanMs = millis("plan"),
            longestStepMs = millis("step"),
            latestTickMs = millis("queue_delay"),
        )
    }

    private suspend fun fetch(controller: ControllerIdentity): String {
        val options = RequestOptions().setMethod(HttpMethod.GET).setURI("/metrics")
            .setHost(controller.clientHost).setPort(controller.clientPort)
            .setConnectTimeout(TIMEOUT_MS).setIdleTimeout(TIMEOUT_MS)
        return client.request(options).coAwait().send().coAwait().body().coAwait().toString()
    }

    /** Parses lines such as `oxbowlug_plan_max{statistic="value"} 0.012`. */
    private fun parse(text: String): Map<String, Double> = text.lines().filter { '{' in it }.associate { line ->
        line.substringBefore('{') to (line.substringAfterLast(' ').toDoubleOrNull() ?: 0.0)
    }

    private companion object {
        const val MS_PER_S = 1000.0
        const val TIMEOUT_MS = 2_000L
    }
}
