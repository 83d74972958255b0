package oxbowlug.scale

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import oxbowlug.port.ChangesOutcome
import oxbowlug.port.CommitOutcome
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.standin.SimStore
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.Entry
import oxbowlug.wire.Event
import oxbowlug.wire.fields
import oxbowlug.wire.sizeAsJson

/** The state service over HTTP: one address for each controller, one store behind them. */
internal class StateServer(
    private val time: VirtualTime,
    private val store: SimStore,
    private val network: Network,
    private val traffic: Traffic,
    rps: Double,
    private val faults: StateFaults = StateFaults(),
) {
    private val requests = RequestLimit(time, rps, burstS = 1)

    fun start(vertx: Vertx, topology: Topology): List<Future<*>> = topology.controllers.map { controller ->
        vertx.serveCbor(controller.stateHost, topology.ports.state) { exchange ->
            network.deliver(Endpoint.Controller(controller), Endpoint.StateService) {
                exchange.guarded { answer(Call(exchange, controller)) }
            }
        }
    }

    private inner class Call(val exchange: HttpExchange, val controller: ControllerPlace) {
        /** Usually within a few milliseconds, and a few times in a thousand within some hundred. */
        fun reply(status: Int, body: Map<String, Any?>) {
            replyAfter(if (time.chance(SLOW_SHARE)) time.between(SLOW_MS) else time.between(USUAL_MS), status, body)
        }

        fun replyAfter(pauseMs: Long, status: Int, body: Map<String, Any?>) = time.after(pauseMs) {
            network.deliver(Endpoint.StateService, Endpoint.Controller(controller)) { exchange.reply(status, body) }
        }

        fun replyNow(body: Map<String, Any?>) = replyAfter(0, Status.OK, body)
    }

    private fun answer(call: Call) {
        val exchange = call.exchange
        if (!requests.take()) {
            traffic.stateRefused++
            return call.reply(Status.TOO_MANY, mapOf("error" to "rate"))
        }
        if (store.down || call.controller.index in faults.refusedControllers) {
            return call.reply(Status.UNAVAILABLE, mapOf("error" to "trouble"))
        }
        val path = exchange.path
        val method = exchange.request.method()
        when {
            path == "/store" -> readPage(call)
            path == "/commit" -> commit(call)
            path == "/changes" -> changes(call)
            path == "/holds" -> {
                traffic.stateLeaseCalls++
                call.reply(Status.OK, mapOf("tether" to store.grantLease(exchange.body().fields().count("life_ms"))))
            }
            path.startsWith(HOLDS) && path.endsWith(TOUCH) -> keepLeaseAlive(call, path)
            path.startsWith(HOLDS) && method == HttpMethod.DELETE -> {
                traffic.stateLeaseCalls++
                path.substring(HOLDS.length).toLongOrNull()?.let(store::revokeLease)
                call.reply(Status.OK, emptyMap())
            }
            else -> call.reply(Status.NOT_FOUND, mapOf("ledger" to store.revision))
        }
    }

    private fun readPage(call: Call) {
        traffic.stateReads++
        val exchange = call.exchange
        val limit = exchange.parameter("limit")?.toIntOrNull()?.coerceIn(1, MAX_PAGE) ?: MAX_PAGE
        val page = store.read(exchange.parameter("prefix").orEmpty(), exchange.parameter("from"), limit)
        val entries = ArrayList<Map<String, Any?>>()
        var bytes = 0
        for (entry in page.entries) {
            bytes += entry.value.sizeAsJson() + entry.key.length
            if (entries.isNotEmpty() && bytes > MAX_PAGE_BYTES) break
            entries.add(encode(entry))
        }
        val more = page.more || entries.size < page.entries.size
        call.reply(Status.OK, mapOf("entries" to entries, "more" to more, "ledger" to page.revision))
    }

    private fun commit(call: Call) {
        traffic.stateCommits++
        val transaction = Wire.decodeTransaction(call.exchange.body())
        when {
            happens(faults.refusedWrites) -> call.reply(Status.TOO_MANY, mapOf("error" to "rate"))
            happens(faults.lateWrites) -> time.after(time.between(LATE_WRITE_MS)) {
                if (!store.down) store.commit(transaction)
            }
            happens(faults.lostAnswers) -> store.commit(transaction)
            happens(faults.slowAnswers) -> answer(store.commit(transaction)) { status, body ->
                call.replyAfter(time.between(SLOW_ANSWER_MS), status, body)
            }
            else -> answer(store.commit(transaction), call::reply)
        }
    }

    private fun happens(share: Double): Boolean = share > 0.0 && time.chance(share)

    private fun answer(outcome: CommitOutcome, reply: (Int, Map<String, Any?>) -> Unit) = when (outcome) {
        is CommitOutcome.Applied -> reply(Status.OK, mapOf("ledger" to outcome.revision))
        is CommitOutcome.Conflict ->
            reply(Status.CONFLICT, mapOf("failed" to outcome.failed, "ledger" to store.revision))
        CommitOutcome.LeaseExpired -> reply(Status.BAD_REQUEST, mapOf("error" to "no such lease"))
        CommitOutcome.Invalid -> reply(Status.BAD_REQUEST, mapOf("error" to "larger than the limits"))
        CommitOutcome.Refused, CommitOutcome.Unanswered -> {
            traffic.stateRefused++
            reply(Status.TOO_MANY, mapOf("error" to "rate"))
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
            if (body == null) call.reply(Status.GONE, emptyMap()) else call.reply(Status.OK, body)
        } else {
            traffic.stateWatches++
            store.watch(prefix, from, minOf(waitMs, MAX_WAIT_MS)) { outcome ->
                if (call.controller.index !in faults.heldWatches) {
                    encode(outcome)?.let(call::replyNow) ?: call.reply(Status.GONE, emptyMap())
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
        val id = path.removeSuffix(TOUCH).substring(HOLDS.length).toLongOrNull()
        val isRenewed = id != null && store.keepLeaseAlive(id) == LeaseRenewalOutcome.RENEWED
        if (isRenewed) call.reply(Status.OK, mapOf("tether" to id)) else call.reply(Status.NOT_FOUND, emptyMap())
    }

    private fun encode(entry: Entry): Map<String, Any?> =
        mapOf("key" to entry.key, "value" to entry.value, "mark" to entry.version)

    private fun encode(event: Event): Map<String, Any?> {
        val value = event.value ?: return mapOf("remove" to event.key, "mark" to event.version)
        return mapOf("set" to event.key, "value" to value, "mark" to event.version)
    }

    private companion object {
        const val HOLDS = "/holds/"
        const val TOUCH = "/touch"
        const val MAX_PAGE = 1000
        const val MAX_PAGE_BYTES = 512 * 1024
        const val MAX_WAIT_MS = 60_000L
        const val SLOW_SHARE = 0.003
        val SLOW_MS = 100L..400L
        val USUAL_MS = 1L..6L
        val LATE_WRITE_MS = 1_000L..8_000L
        val SLOW_ANSWER_MS = 50L..900L
    }
}
