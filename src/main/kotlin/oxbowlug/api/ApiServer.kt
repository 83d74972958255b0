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
import oxbowlug.wire.ResponseCodec
import oxbowlug.wire.Cbor
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.MalformedBody
import oxbowlug.wire.WorkerCodec

/** Users, workers and health checks, all on one port. Decodes, hands to the core, and encodes its answer. */
internal class ApiServer(
    private val vertx: Vertx,
    private val settings: Settings,
    private val controller: Controller,
    private val metrics: () -> String,
) {
    fun start(): Future<HttpServer> =
        vertx
            .createHttpServer(
                HttpServerOptions()
                    .setHost(settings.clientListen.host)
                    .setPort(settings.clientListen.port)
                    .setTcpNoDelay(true)
                    .setMaxInitialLineLength(MAX_LINE)
                    .setMaxHeaderSize(MAX_HEADERS)
                    .setIdleTimeout(IDLE_S),
            ).requestHandler(::route)
            .listen()

    private fun route(request: HttpServerRequest) {
        val path = request.path()
        when {
            path == "/hello" -> withBody(request, HttpMethod.POST, ::heartbeat)
            path == "/work" -> withBody(request, HttpMethod.POST, ::submit)
            path == "/healthz" -> reply(request, if (controller.isHealthy()) 200 else 503, emptyMap())
            path == "/metrics" -> request.response().putHeader("content-type", "text/plain").end(metrics())
            path != null && path.startsWith(WORK) -> job(request, path.substring(WORK.length))
            else -> reply(request, 404, ResponseCodec.problem("no such page"))
        }
    }

    private fun job(
        request: HttpServerRequest,
        rest: String,
    ) {
        val id = rest.removeSuffix(CANCEL)
        val cancelling = id.length < rest.length
        when {
            request.method() != if (cancelling) HttpMethod.POST else HttpMethod.GET -> wrongMethod(request)
            !JobId.isValid(id) -> reply(request, 404, ResponseCodec.problem("no such job"))
            cancelling -> offer(request, ControllerEvent.Cancel(JobId(id)) { answerCancel(request, it) })
            else -> offer(request, ControllerEvent.Poll(JobId(id)) { answer(request, it) })
        }
    }

    private fun submit(
        request: HttpServerRequest,
        body: Map<String, Any?>,
    ) {
        val command =
            try {
                ControllerEvent.Submit(JobSpecCodec.decode(body)) { answer(request, it) }
            } catch (e: InvalidField) {
                val id = (body["id"] as? String)?.takeIf(JobId::isValid) ?: throw e
                log.info("refused {}: {}", request.path(), e.message)
                ControllerEvent.SubmitMalformed(JobId(id), e.message.orEmpty()) { answer(request, it) }
            }
        offer(request, command)
    }

    private fun heartbeat(
        request: HttpServerRequest,
        body: Map<String, Any?>,
    ) {
        val heartbeat = WorkerCodec.decodeHeartbeat(body)
        offer(
            request,
            ControllerEvent.Heartbeat(heartbeat) { answer ->
                when (answer) {
                    is HeartbeatResponse.Renewed ->
                        reply(request, 200, WorkerCodec.encodeResponse(answer.token, answer.commands))
                    is HeartbeatResponse.Redirect -> reply(request, 421, ResponseCodec.redirect(answer.label))
                    HeartbeatResponse.Unavailable -> reply(request, 503, emptyMap())
                }
            },
        )
    }

    private fun answer(
        request: HttpServerRequest,
        answer: UserResponse,
    ) {
        when (answer) {
            is UserResponse.Accepted -> reply(request, 201, ResponseCodec.accepted(answer.status))
            is UserResponse.Known -> reply(request, 200, ResponseCodec.polled(answer.status))
            is UserResponse.Malformed -> reply(request, 400, ResponseCodec.problem(answer.problem))
            is UserResponse.Rejected -> reply(request, 422, ResponseCodec.problem(answer.problem))
            UserResponse.NotFound -> reply(request, 404, ResponseCodec.problem("no such job"))
            is UserResponse.Unavailable -> later(request, 503, answer.retryAfterS, answer.reason)
            is UserResponse.Overloaded -> later(request, 429, answer.retryAfterS, "more is asked than can be done")
        }
    }

    private fun answerCancel(
        request: HttpServerRequest,
        answer: UserResponse,
    ) {
        if (answer !is UserResponse.Known) return answer(request, answer)
        reply(request, 200, ResponseCodec.accepted(answer.status))
    }

    private fun later(
        request: HttpServerRequest,
        status: Int,
        afterS: Int,
        why: String,
    ) {
        request.response().putHeader("Retry-After", afterS.toString())
        reply(request, status, ResponseCodec.problem(why))
    }

    private fun offer(
        request: HttpServerRequest,
        command: ControllerEvent,
    ) {
        if (!controller.offer(command)) later(request, 503, 1, "too busy")
    }

    private fun wrongMethod(request: HttpServerRequest) = reply(request, 405, ResponseCodec.problem("wrong method"))

    private fun withBody(
        request: HttpServerRequest,
        method: HttpMethod,
        handle: (HttpServerRequest, Map<String, Any?>) -> Unit,
    ) {
        if (request.method() != method) return wrongMethod(request)
        val announced = request.getHeader("content-length")?.toLongOrNull() ?: 0
        if (announced > MAX_BODY) return tooLarge(request)
        val body = Buffer.buffer()
        var refused = false
        request.exceptionHandler { refused = true }
        request.handler { part ->
            if (refused) return@handler
            if (body.length() + part.length() > MAX_BODY) {
                refused = true
                tooLarge(request)
            } else {
                body.appendBuffer(part)
            }
        }
        request.endHandler { if (!refused) decode(request, body, handle) }
    }

    private fun decode(
        request: HttpServerRequest,
        body: Buffer,
        handle: (HttpServerRequest, Map<String, Any?>) -> Unit,
    ) {
        try {
            handle(request, Cbor.decode(body.bytes))
        } catch (e: MalformedBody) {
            malformed(request, e.message.orEmpty())
        } catch (e: InvalidField) {
            malformed(request, e.message.orEmpty())
        }
    }

    private fun malformed(
        request: HttpServerRequest,
        why: String,
    ) {
        log.info("refused {}: {}", request.path(), why)
        reply(request, 400, ResponseCodec.problem(why))
    }

    /** The rest of an oversized body isn't waited for. */
    private fun tooLarge(request: HttpServerRequest) {
        request.response().putHeader("Connection", "close")
        reply(request, 400, ResponseCodec.problem("the body has more than $MAX_BODY bytes"))
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
        const val WORK = "/work/"
        const val CANCEL = "/cancel"
        const val MAX_BODY = 64 * 1024
        const val MAX_LINE = 1024
        const val MAX_HEADERS = 4096
        const val IDLE_S = 120
        val log = LoggerFactory.getLogger("api")
    }
}
