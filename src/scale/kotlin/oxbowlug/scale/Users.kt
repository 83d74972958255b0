package oxbowlug.scale

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import oxbowlug.request.UserResponse
import oxbowlug.standin.InvariantChecker
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.Cbor
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobState
import oxbowlug.wire.JobStatus
import oxbowlug.wire.MalformedBody
import oxbowlug.wire.fields

/** A controller's response to a user. */
private class Answer(val status: Int, val body: Map<String, Any?>, val retryAfterS: Int)

/** Users behind a load balancer: they submit jobs, retry failed requests, poll, and cancel. */
internal class Users(
    vertx: Vertx,
    private val time: VirtualTime,
    private val topology: Topology,
    private val network: Network,
    private val checker: InvariantChecker,
) {
    private val client = vertx.createHttpClient(
        HttpClientOptions().setKeepAlive(true).setDecompressionSupported(false),
        PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(-1),
    )
    private val isHealthy = BooleanArray(topology.controllers.size)
    private val probeFailures = IntArray(topology.controllers.size)

    /** From the first attempt to submit a job until a controller accepts it. */
    var acceptance = Durations()

    /** Number of responses by HTTP status; 0 stands for requests without a response. */
    val answers = java.util.TreeMap<Int, Long>()
    var abandonedSubmissions = 0
        private set
    val healthyCount: Int get() = isHealthy.count { it }

    fun start() = time.every(PROBE_MS) { topology.controllers.forEach(::probe) }

    private fun probe(controller: ControllerIdentity) {
        call(controller, HttpMethod.GET, "/healthz", null, PROBE_TIMEOUT_MS) { answer ->
            val index = controller.index
            probeFailures[index] = if (answer?.status == HttpStatus.OK) 0 else probeFailures[index] + 1
            if (probeFailures[index] == 0) isHealthy[index] = true
            if (probeFailures[index] >= UNHEALTHY_AFTER_FAILURES) isHealthy[index] = false
        }
    }

    fun submit(job: PlannedJob, onAccepted: () -> Unit = {}) {
        checker.jobs[job.spec.id.value] = InvariantChecker.Known(job.spec)
        attemptSubmit(job, time.nowMs, onAccepted)
    }

    private fun attemptSubmit(job: PlannedJob, firstAttemptAt: Long, onAccepted: () -> Unit) {
        val id = job.spec.id.value
        val sentAt = time.nowMs
        sendToHealthy(HttpMethod.POST, "/work", JobSpecCodec.encode(job.spec)) { answer ->
            val response = answer?.let { parseResponse(it, isSubmission = true) }
            if (response != null) checker.observed(id, response, sentAt)
            when {
                response is UserResponse.Accepted || response is UserResponse.Known -> {
                    acceptance.record(time.nowMs - firstAttemptAt)
                    onAccepted()
                    schedulePoll(id)
                }
                time.nowMs - firstAttemptAt > SUBMIT_TIMEOUT_MS ||
                    response is UserResponse.Malformed || response is UserResponse.Rejected ->
                    abandonedSubmissions++
                else -> time.after(retryDelayMs(answer)) { attemptSubmit(job, firstAttemptAt, onAccepted) }
            }
        }
    }

    private fun retryDelayMs(answer: Answer?): Long = maxOf(RETRY_DELAY_MS, (answer?.retryAfterS ?: 0) * MS_PER_S)

    fun cancel(id: JobId) {
        val job = checker.jobs[id.value] ?: return
        job.cancelRequested = true
        val sentAt = time.nowMs
        sendToHealthy(HttpMethod.POST, "/work/$id/cancel", emptyMap()) { answer ->
            val response = answer?.let { parseResponse(it, isSubmission = false) }
            if (response != null) checker.observed(id.value, response, sentAt)
            if (response !is UserResponse.Known) time.after(retryDelayMs(answer)) { cancel(id) }
        }
    }

    private fun schedulePoll(id: String) {
        time.after(time.between(POLL_INTERVAL_MS)) {
            val job = checker.jobs.getValue(id)
            if (job.finalSince == null) poll(id)
        }
    }

    private fun poll(id: String) {
        val sentAt = time.nowMs
        sendToHealthy(HttpMethod.GET, "/work/$id", null, POLL_TIMEOUT_MS) { answer ->
            val response = answer?.let { parseResponse(it, isSubmission = false) }
            if (response is UserResponse.Known || response is UserResponse.NotFound) {
                checker.observed(id, response, sentAt)
            }
            schedulePoll(id)
        }
    }

    private fun parseResponse(answer: Answer, isSubmission: Boolean): UserResponse? = try {
        when (answer.status) {
            HttpStatus.CREATED -> UserResponse.Accepted(parseStatus(answer.body))
            HttpStatus.OK -> UserResponse.Known(parseStatus(answer.body))
            HttpStatus.BAD_REQUEST -> UserResponse.Malformed(answer.body["error"].toString())
            HttpStatus.UNPROCESSABLE -> UserResponse.Rejected(answer.body["error"].toString())
            HttpStatus.NOT_FOUND -> UserResponse.NotFound.takeIf { !isSubmission }
            HttpStatus.TOO_MANY_REQUESTS -> UserResponse.Overloaded(answer.retryAfterS)
            else -> UserResponse.Unavailable(answer.retryAfterS, "")
        }
    } catch (_: InvalidField) {
        null
    }

    private fun parseStatus(body: Map<String, Any?>): JobStatus {
        val fields = body.fields()
        val state = fields.text("stance")
        return JobStatus(
            JobId(fields.text("id")), JobState.entries.first { it.wire == state },
            fields.countOr("done", 0).toInt(), fields.countOr("running", 0).toInt(),
        )
    }

    /** Sends the request to a random healthy controller, or to any controller if none is healthy. */
    private fun sendToHealthy(
        method: HttpMethod,
        path: String,
        body: Map<String, Any?>?,
        timeoutMs: Long = RESPONSE_TIMEOUT_MS,
        onComplete: (Answer?) -> Unit,
    ) {
        val healthy = topology.controllers.filter { isHealthy[it.index] }.ifEmpty { topology.controllers }
        val chosen = healthy[time.between(0, healthy.size - 1L).toInt()]
        call(chosen, method, path, body, timeoutMs) { answer ->
            answers.merge(answer?.status ?: 0, 1L, Long::plus)
            onComplete(answer)
        }
    }

    private fun call(
        controller: ControllerIdentity,
        method: HttpMethod,
        path: String,
        body: Map<String, Any?>?,
        timeoutMs: Long,
        onComplete: (Answer?) -> Unit,
    ) {
        var isCompleted = false

        fun complete(answer: Answer?) {
            if (isCompleted) return
            isCompleted = true
            onComplete(answer)
        }
        time.after(timeoutMs) { complete(null) }
        val controllerEnd = Endpoint.Controller(controller)
        network.deliver(Endpoint.UserSide, controllerEnd) {
            val options = RequestOptions().setHost(controller.clientHost).setPort(controller.clientPort)
                .setMethod(method).setURI(path).setConnectTimeout(timeoutMs).setIdleTimeout(timeoutMs)
            client.request(options)
                .compose { request ->
                    val bytes = Buffer.buffer(if (body == null) ByteArray(0) else Cbor.encode(body))
                    request.send(bytes).onFailure { request.reset() }
                }
                .compose { response -> response.body().map { bytes -> decode(response, bytes) } }
                .onSuccess { answer -> network.deliver(controllerEnd, Endpoint.UserSide) { complete(answer) } }
                .onFailure { network.deliver(controllerEnd, Endpoint.UserSide) { complete(null) } }
        }
    }

    private fun decode(httpResponse: HttpClientResponse, bytes: Buffer): Answer {
        val body = try {
            Cbor.decode(bytes.bytes)
        } catch (_: MalformedBody) {
            emptyMap()
        }
        return Answer(httpResponse.statusCode(), body, httpResponse.getHeader("retry-after")?.toIntOrNull() ?: 0)
    }

    private companion object {
        const val MAX_CONNECTIONS = 256
        const val PROBE_MS = 1_000L
        const val PROBE_TIMEOUT_MS = 1_000L
        const val UNHEALTHY_AFTER_FAILURES = 2
        const val RESPONSE_TIMEOUT_MS = 5_000L
        const val POLL_TIMEOUT_MS = 2_000L
        const val RETRY_DELAY_MS = 1_000L
        const val SUBMIT_TIMEOUT_MS = 60_000L
        const val MS_PER_S = 1000L
        val POLL_INTERVAL_MS = 4_500L..5_500L
    }
}
