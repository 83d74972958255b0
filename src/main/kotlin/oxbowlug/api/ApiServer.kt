package oxbowlug.api

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import org.slf4j.LoggerFactory
import oxbowlug.config.Settings
import oxbowlug.controller.Controller
import oxbowlug.controller.ControllerEvent
import oxbowlug.lease.HeartbeatResponse
import oxbowlug.request.UserResponse
import oxbowlug.wire.Cbor
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.MalformedBody
import oxbowlug.wire.ReportSize
import oxbowlug.wire.ResponseCodec
import oxbowlug.wire.WorkerCodec

/**
 * HTTP server for users, workers, health checks and metrics, all on one port. Decodes each request, passes it to the
 * controller as an event, and encodes the answer.
 */
internal class ApiServer(
    private val vertx: Vertx,
    private val settings: Settings,
    private val controller: Controller,
    private val metrics: () -> String,
) {
    /** Starts to listen; the future completes once the port is bound. */
    fun start(): Future<HttpServer> =
        vertx
            .createHttpServer(
                HttpServerOptions()
                    .setHost(settings.clientListen.host)
                    .setPort(settings.clientListen.port)
                    .setTcpNoDelay(true)
                    .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                    .setMaxHeaderSize(MAX_HEADER_BYTES)
                    .setIdleTimeout(IDLE_TIMEOUT_S),
            ).requestHandler(::route)
            .listen()

    private fun route(request: HttpServerRequest) {
        val path = request.path()
        when {
            path == "/hello" -> readBody(request, HttpMethod.POST, ::handleHeartbeat)
            path == "/work" -> readBody(request, HttpMethod.POST, ::handleSubmission)
            path == "/healthz" -> reply(request, if (controller.isHealthy()) 200 else 503, emptyMap())
            path == "/metrics" -> request.response().putHeader("content-type", "text/plain").end(metrics())
            path != null && path.startsWith(JOB_PREFIX) -> routeJob(request, path.substring(JOB_PREFIX.length))
            else -> reply(request, 404, ResponseCodec.problem("no such page"))
        }
    }

    private fun routeJob(
        request: HttpServerRequest,
        jobPath: String,
    ) {
        val id = jobPath.removeSuffix(CANCEL_SUFFIX)
        val isCancellation = id.length < jobPath.length
        when {
            request.method() != if (isCancellation) HttpMethod.POST else HttpMethod.GET -> replyWrongMethod(request)
            !JobId.isValid(id) -> reply(request, 404, ResponseCodec.problem("no such job"))
            isCancellation -> enqueue(request, ControllerEvent.Cancel(JobId(id)) { replyToCancellation(request, it) })
            else -> enqueue(request, ControllerEvent.Poll(JobId(id)) { replyToUser(request, it) })
        }
    }

    private fun handleSubmission(
        request: HttpServerRequest,
        body: Map<String, Any?>,
    ) {
        val event =
            try {
                ControllerEvent.Submit(JobSpecCodec.decode(body)) { replyToUser(request, it) }
            } catch (e: InvalidField) {
                // A job of this id may have been accepted before; then the controller answers with its status, not 400.
                val id = (body["id"] as? String)?.takeIf(JobId::isValid) ?: throw e
                log.info("refused {}: {}", request.path(), e.message)
                ControllerEvent.SubmitMalformed(JobId(id), e.message.orEmpty()) { replyToUser(request, it) }
            }
        enqueue(request, event)
    }

    private fun handleHeartbeat(
        request: HttpServerRequest,
        body: Map<String, Any?>,
    ) {
        val heartbeat = WorkerCodec.decodeHeartbeat(body)
        enqueue(
            request,
            ControllerEvent.Heartbeat(heartbeat) { response ->
                when (response) {
                    is HeartbeatResponse.Renewed ->
                        reply(request, 200, WorkerCodec.encodeResponse(response.token, response.commands))
                    is HeartbeatResponse.Redirect -> reply(request, 421, ResponseCodec.redirect(response.label))
                    HeartbeatResponse.Unavailable -> reply(request, 503, emptyMap())
                }
            },
        )
    }

    private fun replyToUser(
        request: HttpServerRequest,
        response: UserResponse,
    ) {
        when (response) {
            is UserResponse.Accepted -> reply(request, 201, ResponseCodec.accepted(response.status))
            is UserResponse.Known -> reply(request, 200, ResponseCodec.polled(response.status))
            is UserResponse.Malformed -> reply(request, 400, ResponseCodec.problem(response.problem))
            is UserResponse.Rejected -> reply(request, 422, ResponseCodec.problem(response.problem))
            UserResponse.NotFound -> reply(request, 404, ResponseCodec.problem("no such job"))
            is UserResponse.Unavailable -> replyRetryLater(request, 503, response.retryAfterS, response.reason)
            is UserResponse.Overloaded ->
                replyRetryLater(request, 429, response.retryAfterS, "more is asked than can be done")
        }
    }

    private fun replyToCancellation(
        request: HttpServerRequest,
        response: UserResponse,
    ) {
        if (response !is UserResponse.Known) return replyToUser(request, response)
        reply(request, 200, ResponseCodec.accepted(response.status))
    }

    private fun replyRetryLater(
        request: HttpServerRequest,
        status: Int,
        retryAfterS: Int,
        reason: String,
    ) {
        request.response().putHeader("Retry-After", retryAfterS.toString())
        reply(request, status, ResponseCodec.problem(reason))
    }

    /** Adds [event] to the controller's queue, or answers 503 if the queue is full. */
    private fun enqueue(
        request: HttpServerRequest,
        event: ControllerEvent,
    ) {
        if (!controller.offer(event)) replyRetryLater(request, 503, 1, "too busy")
    }

    private fun replyWrongMethod(request: HttpServerRequest) =
        reply(request, 405, ResponseCodec.problem("wrong method"))

    /** Reads and decodes the request's body and calls [handle] with it. Rejects a body that is too large early. */
    private fun readBody(
        request: HttpServerRequest,
        method: HttpMethod,
        handle: (HttpServerRequest, Map<String, Any?>) -> Unit,
    ) {
        if (request.method() != method) return replyWrongMethod(request)
        val declaredLength = request.getHeader("content-length")?.toLongOrNull() ?: 0
        if (declaredLength > ReportSize.MAX_BODY_BYTES) return replyBodyTooLarge(request)
        val body = Buffer.buffer()
        var isAborted = false
        request.exceptionHandler { isAborted = true }
        request.handler { chunk ->
            if (isAborted) return@handler
            if (body.length() + chunk.length() > ReportSize.MAX_BODY_BYTES) {
                isAborted = true
                replyBodyTooLarge(request)
            } else {
                body.appendBuffer(chunk)
            }
        }
        request.endHandler { if (!isAborted) decodeBody(request, body, handle) }
    }

    private fun decodeBody(
        request: HttpServerRequest,
        body: Buffer,
        handle: (HttpServerRequest, Map<String, Any?>) -> Unit,
    ) {
        try {
            handle(request, Cbor.decode(body.bytes))
        } catch (e: MalformedBody) {
            replyMalformed(request, e.message.orEmpty())
        } catch (e: InvalidField) {
            replyMalformed(request, e.message.orEmpty())
        }
    }

    private fun replyMalformed(
        request: HttpServerRequest,
        reason: String,
    ) {
        log.info("refused {}: {}", request.path(), reason)
        reply(request, 400, ResponseCodec.problem(reason))
    }

    /** Answers without reading the rest of the body, and closes the connection. */
    private fun replyBodyTooLarge(request: HttpServerRequest) {
        request.response().putHeader("Connection", "close")
        reply(request, 400, ResponseCodec.problem("the body has more than ${ReportSize.MAX_BODY_BYTES} bytes"))
    }

    private fun reply(
        request: HttpServerRequest,
        status: Int,
        body: Map<String, Any?>,
    ) {
        val response = request.response()
        if (response.ended() || response.closed()) return
        response
            .setStatusCode(status)
            .putHeader("content-type", "application/cbor")
            .end(Buffer.buffer(Cbor.encode(body)))
    }

    private companion object {
        const val JOB_PREFIX = "/work/"
        const val CANCEL_SUFFIX = "/cancel"
        const val MAX_REQUEST_LINE_BYTES = 1024
        const val MAX_HEADER_BYTES = 4096
        const val IDLE_TIMEOUT_S = 120
        val log = LoggerFactory.getLogger("api")
    }
}
