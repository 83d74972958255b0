package oxbowlug.scale

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import oxbowlug.port.ChangesOutcome
import oxbowlug.port.CommitOutcome
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.standin.RequestRepeats
import oxbowlug.standin.SimStore
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.Entry
import oxbowlug.wire.Event
import oxbowlug.wire.fields
import oxbowlug.wire.sizeAsJson

/** Serves the state service's stand-in over HTTP: one address for each controller, one store behind all of them. */
internal class StateServer(
    private val time: VirtualTime,
    private val store: SimStore,
    private val network: Network,
    private val traffic: Traffic,
    rps: Double,
    private val faults: StateFaults,
    private val repeats: RequestRepeats,
) {
    private val rateLimiter = RateLimiter(time, rps, burstS = 1)

    fun start(vertx: Vertx, topology: Topology): List<Future<*>> = topology.controllers.map { controller ->
        vertx.serveCbor(controller.stateHost, topology.ports.state) { exchange ->
            network.deliver(Endpoint.Controller(controller), Endpoint.StateService) {
                exchange.rejectingMalformed { respond(Call(exchange, controller)) }
            }
        }
    }

    private inner class Call(val exchange: HttpExchange, val controller: ControllerIdentity) {
        /** Replies after 1 to 6 ms, and in 0.3 % of the cases after 100 to 400 ms. */
        fun reply(status: Int, body: Map<String, Any?>) {
            replyAfter(
                if (time.chance(SLOW_PROBABILITY)) time.between(SLOW_RESPONSE_MS) else time.between(RESPONSE_MS),
                status,
                body,
            )
        }

        fun replyAfter(delayMs: Long, status: Int, body: Map<String, Any?>) = time.after(delayMs) {
            network.deliver(Endpoint.StateService, Endpoint.Controller(controller)) { exchange.reply(status, body) }
        }

        fun replyNow(body: Map<String, Any?>) = replyAfter(0, HttpStatus.OK, body)
    }

    private fun respond(call: Call) {
        val exchange = call.exchange
        if (!rateLimiter.tryAcquire()) {
            traffic.stateRefused++
            return call.reply(HttpStatus.TOO_MANY_REQUESTS, mapOf("error" to "rate"))
        }
        if (store.down || call.controller.index in faults.refusedControllers) {
            return call.reply(HttpStatus.UNAVAILABLE, mapOf("error" to "trouble"))
        }
        val path = exchange.path
        val method = exchange.request.method()
        when {
            path == "/store" -> readPage(call)
            path == "/commit" -> commit(call)
            path == "/changes" -> changes(call)
            path == "/holds" -> {
                traffic.stateLeaseCalls++
                val ttlMs = exchange.body().fields().count("life_ms")
                call.reply(HttpStatus.OK, mapOf("tether" to executeRepeatably { store.grantLease(ttlMs) }))
            }
            path.startsWith(LEASES_PATH) && path.endsWith(KEEP_ALIVE_SUFFIX) -> keepLeaseAlive(call, path)
            path.startsWith(LEASES_PATH) && method == HttpMethod.DELETE -> {
                traffic.stateLeaseCalls++
                path.substring(LEASES_PATH.length).toLongOrNull()?.let { lease ->
                    executeRepeatably { store.revokeLease(lease) }
                }
                call.reply(HttpStatus.OK, emptyMap())
            }
            else -> call.reply(HttpStatus.NOT_FOUND, mapOf("ledger" to store.revision))
        }
    }

    private fun readPage(call: Call) {
        traffic.stateReads++
        val exchange = call.exchange
        val limit = exchange.parameter("limit")?.toIntOrNull()?.coerceIn(1, MAX_PAGE_ENTRIES) ?: MAX_PAGE_ENTRIES
        val page = store.read(exchange.parameter("prefix").orEmpty(), exchange.parameter("from"), limit)
        val entries = ArrayList<Map<String, Any?>>()
        var bytes = 0
        for (entry in page.entries) {
            bytes += entry.value.sizeAsJson() + entry.key.length
            if (entries.isNotEmpty() && bytes > MAX_PAGE_BYTES) break
            entries.add(encode(entry))
        }
        val more = page.more || entries.size < page.entries.size
        call.reply(HttpStatus.OK, mapOf("entries" to entries, "more" to more, "ledger" to page.revision))
    }

    private fun commit(call: Call) {
        traffic.stateCommits++
        val transaction = StandInCodec.decodeTransaction(call.exchange.body())
        when {
            occurs(faults.refusedWrites) -> call.reply(HttpStatus.TOO_MANY_REQUESTS, mapOf("error" to "rate"))
            occurs(faults.delayedWrites) -> time.after(time.between(WRITE_DELAY_MS)) {
                if (!store.down) store.commit(transaction)
            }
            occurs(faults.lostWriteAnswers) -> executeRepeatably { store.commit(transaction) }
            occurs(faults.slowWriteAnswers) ->
                respond(executeRepeatably { store.commit(transaction) }) { status, body ->
                    call.replyAfter(time.between(SLOW_WRITE_ANSWER_MS), status, body)
                }
            else -> respond(executeRepeatably { store.commit(transaction) }, call::reply)
        }
    }

    /** Executes [request] now, and again if the network repeats it. */
    private fun <T> executeRepeatably(request: () -> T): T {
        repeats.onExecuted { if (!store.down) request() }
        return request()
    }

    private fun occurs(probability: Double): Boolean = probability > 0.0 && time.chance(probability)

    private fun respond(outcome: CommitOutcome, reply: (Int, Map<String, Any?>) -> Unit) = when (outcome) {
        is CommitOutcome.Applied -> reply(HttpStatus.OK, mapOf("ledger" to outcome.revision))
        is CommitOutcome.Conflict ->
            reply(HttpStatus.CONFLICT, mapOf("failed" to outcome.failed, "ledger" to store.revision))
        CommitOutcome.LeaseExpired -> reply(HttpStatus.BAD_REQUEST, mapOf("error" to "no such lease"))
        CommitOutcome.Invalid -> reply(HttpStatus.BAD_REQUEST, mapOf("error" to "larger than the limits"))
        CommitOutcome.Refused, CommitOutcome.Unanswered -> {
            traffic.stateRefused++
            reply(HttpStatus.TOO_MANY_REQUESTS, mapOf("error" to "rate"))
        }
    }

    private fun changes(call: Call) {
        val exchange = call.exchange
        val from = exchange.parameter("from")?.toLongOrNull() ?: 0L
        val prefix = exchange.parameter("prefix").orEmpty()
        val waitMs = exchange.parameter("block_ms")?.toLongOrNull() ?: 0L
        if (waitMs == 0L) {
            traffic.stateReads++
            val body = encode(store.changes(prefix, from))
            if (body == null) call.reply(HttpStatus.GONE, emptyMap()) else call.reply(HttpStatus.OK, body)
        } else {
            traffic.stateWatches++
            store.watch(prefix, from, minOf(waitMs, MAX_WAIT_MS)) { outcome ->
                if (call.controller.index !in faults.unansweredWatches) {
                    encode(outcome)?.let(call::replyNow) ?: call.reply(HttpStatus.GONE, emptyMap())
                }
            }
        }
    }

    private fun encode(outcome: ChangesOutcome): Map<String, Any?>? {
        if (outcome !is ChangesOutcome.Read) return null
        return mapOf("ledger" to outcome.changes.revision, "events" to outcome.changes.events.map(::encode))
    }

    private fun keepLeaseAlive(call: Call, path: String) {
        traffic.stateLeaseCalls++
        val id = path.removeSuffix(KEEP_ALIVE_SUFFIX).substring(LEASES_PATH.length).toLongOrNull()
        val renewed = id != null && executeRepeatably { store.keepLeaseAlive(id) } == LeaseRenewalOutcome.RENEWED
        if (renewed) call.reply(HttpStatus.OK, mapOf("tether" to id)) else call.reply(HttpStatus.NOT_FOUND, emptyMap())
    }

    private fun encode(entry: Entry): Map<String, Any?> =
        mapOf("key" to entry.key, "value" to entry.value, "mark" to entry.version)

    private fun encode(event: Event): Map<String, Any?> {
        val value = event.value ?: return mapOf("remove" to event.key, "mark" to event.version)
        return mapOf("set" to event.key, "value" to value, "mark" to event.version)
    }

    private companion object {
        const val LEASES_PATH = "/holds/"
        const val KEEP_ALIVE_SUFFIX = "/touch"
        const val MAX_PAGE_ENTRIES = 1000
        const val MAX_PAGE_BYTES = 512 * 1024
        const val MAX_WAIT_MS = 60_000L
        const val SLOW_PROBABILITY = 0.003
        val SLOW_RESPONSE_MS = 100L..400L
        val RESPONSE_MS = 1L..6L
        val WRITE_DELAY_MS = 1_000L..8_000L
        val SLOW_WRITE_ANSWER_MS = 50L..900L
    }
}
