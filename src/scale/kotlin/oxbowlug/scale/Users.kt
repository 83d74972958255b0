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

/** An answer to a user, or none within the time that users wait. */
private class Answer(val status: Int, val body: Map<String, Any?>, val retryAfterS: Int)

/** Users behind a load balancer: they submit, repeat what wasn't taken, poll, and cancel. */
internal class Users(
    vertx: Vertx,
    private val time: VirtualTime,
    private val topology: Topology,
    private val network: Network,
    private val checker: InvariantChecker,
) {
    private val client = vertx.createHttpClient(
        HttpClientOptions().setKeepAlive(true).setDecompressionSupported(false),
        PoolOptions().setHttp1MaxSize(CONNECTIONS).setMaxWaitQueueSize(-1),
    )
    private val isHealthy = BooleanArray(topology.controllers.size)
    private val failures = IntArray(topology.controllers.size)

    /** From the first attempt to submit until it was accepted. */
    var acceptance = Durations()

    /** Answers to users by status; 0 stands for none. */
    val answers = java.util.TreeMap<Int, Long>()
    var givenUp = 0
        private set
    val healthyCount: Int get() = isHealthy.count { it }

    fun start() = time.every(PROBE_MS) { topology.controllers.forEach(::probe) }

    private fun probe(controller: ControllerPlace) {
        call(controller, HttpMethod.GET, "/healthz", null, PROBE_TIMEOUT_MS) { answer ->
            val index = controller.index
            failures[index] = if (answer?.status == Status.OK) 0 else failures[index] + 1
            if (failures[index] == 0) isHealthy[index] = true
            if (failures[index] >= FAILURES_TO_LEAVE) isHealthy[index] = false
        }
    }

    fun submit(job: PlannedJob, onAccepted: () -> Unit = {}) {
        checker.jobs[job.spec.id.value] = InvariantChecker.Known(job.spec)
        attempt(job, time.nowMs, onAccepted)
    }

    private fun attempt(job: PlannedJob, firstAt: Long, onAccepted: () -> Unit) {
        val id = job.spec.id.value
        val askedAt = time.nowMs
        ask(HttpMethod.POST, "/work", JobSpecCodec.encode(job.spec)) { answer ->
            val observed = answer?.let { read(it, isSubmission = true) }
            if (observed != null) checker.observed(id, observed, askedAt)
            when {
                observed is UserResponse.Accepted || observed is UserResponse.Known -> {
                    acceptance.record(time.nowMs - firstAt)
                    onAccepted()
                    pollLater(id)
                }
                time.nowMs - firstAt > GIVE_UP_MS || observed is UserResponse.Malformed || observed is UserResponse.Rejected ->
                    givenUp++
                else -> time.after(pauseMs(answer)) { attempt(job, firstAt, onAccepted) }
            }
        }
    }

    private fun pauseMs(answer: Answer?): Long = maxOf(RETRY_MS, (answer?.retryAfterS ?: 0) * MS)

    fun cancel(id: JobId) {
        val job = checker.jobs[id.value] ?: return
        job.cancelRequested = true
        val askedAt = time.nowMs
        ask(HttpMethod.POST, "/work/$id/cancel", emptyMap()) { answer ->
            val observed = answer?.let { read(it, isSubmission = false) }
            if (observed != null) checker.observed(id.value, observed, askedAt)
            if (observed !is UserResponse.Known) time.after(pauseMs(answer)) { cancel(id) }
        }
    }

    private fun pollLater(id: String) {
        time.after(time.between(POLL_MS)) {
            val job = checker.jobs.getValue(id)
            if (job.finalSince == null) poll(id)
        }
    }

    private fun poll(id: String) {
        val askedAt = time.nowMs
        ask(HttpMethod.GET, "/work/$id", null, POLL_TIMEOUT_MS) { answer ->
            val observed = answer?.let { read(it, isSubmission = false) }
            if (observed is UserResponse.Known || observed is UserResponse.NotFound) checker.observed(id, observed, askedAt)
            pollLater(id)
        }
    }

    private fun read(answer: Answer, isSubmission: Boolean): UserResponse? = try {
        when (answer.status) {
            Status.CREATED -> UserResponse.Accepted(view(answer.body))
            Status.OK -> UserResponse.Known(view(answer.body))
            Status.BAD_REQUEST -> UserResponse.Malformed(answer.body["error"].toString())
            Status.UNPROCESSABLE -> UserResponse.Rejected(answer.body["error"].toString())
            Status.NOT_FOUND -> UserResponse.NotFound.takeIf { !isSubmission }
            Status.TOO_MANY -> UserResponse.Overloaded(answer.retryAfterS)
            else -> UserResponse.Unavailable(answer.retryAfterS, "")
        }
    } catch (_: InvalidField) {
        null
    }

    private fun view(body: Map<String, Any?>): JobStatus {
        val fields = body.fields()
        val state = fields.text("stance")
        return JobStatus(
            JobId(fields.text("id")), JobState.entries.first { it.wire == state },
            fields.countOr("done", 0).toInt(), fields.countOr("running", 0).toInt(),
        )
    }

    /** To one of the healthy controllers, or to any when none is. */
    private fun ask(
        method: HttpMethod,
        path: String,
        body: Map<String, Any?>?,
        timeoutMs: Long = ANSWER_MS,
        done: (Answer?) -> Unit,
    ) {
        val healthy = topology.controllers.filter { isHealthy[it.index] }.ifEmpty { topology.controllers }
        val chosen = healthy[time.between(0, healthy.size - 1L).toInt()]
        call(chosen, method, path, body, timeoutMs) { answer ->
            answers.merge(answer?.status ?: 0, 1L, Long::plus)
            done(answer)
        }
    }

    private fun call(
        controller: ControllerPlace,
        method: HttpMethod,
        path: String,
        body: Map<String, Any?>?,
        timeoutMs: Long,
        done: (Answer?) -> Unit,
    ) {
        var isOverQuota = false

        fun end(answer: Answer?) {
            if (isOverQuota) return
            isOverQuota = true
            done(answer)
        }
        time.after(timeoutMs) { end(null) }
        val far = Endpoint.Controller(controller)
        network.deliver(Endpoint.UserSide, far) {
            val options = RequestOptions().setHost(controller.clientHost).setPort(controller.clientPort)
                .setMethod(method).setURI(path).setConnectTimeout(timeoutMs).setIdleTimeout(timeoutMs)
            client.request(options)
                .compose { request ->
                    val bytes = Buffer.buffer(if (body == null) ByteArray(0) else Cbor.encode(body))
                    request.send(bytes).onFailure { request.reset() }
                }
                .compose { response -> response.body().map { bytes -> decode(response, bytes) } }
                .onSuccess { answer -> network.deliver(far, Endpoint.UserSide) { end(answer) } }
                .onFailure { network.deliver(far, Endpoint.UserSide) { end(null) } }
        }
    }

    private fun decode(response: HttpClientResponse, bytes: Buffer): Answer {
        val body = try {
            Cbor.decode(bytes.bytes)
        } catch (_: MalformedBody) {
            emptyMap()
        }
        return Answer(response.statusCode(), body, response.getHeader("retry-after")?.toIntOrNull() ?: 0)
    }

    private companion object {
        const val CONNECTIONS = 256
        const val PROBE_MS = 1_000L
        const val PROBE_TIMEOUT_MS = 1_000L
        const val FAILURES_TO_LEAVE = 2
        const val ANSWER_MS = 5_000L
        const val POLL_TIMEOUT_MS = 2_000L
        const val RETRY_MS = 1_000L
        const val GIVE_UP_MS = 60_000L
        const val MS = 1000L
        val POLL_MS = 4_500L..5_500L
    }
}
