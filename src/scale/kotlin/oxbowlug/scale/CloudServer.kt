package oxbowlug.scale

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import oxbowlug.port.RentalOutcome
import oxbowlug.standin.RequestRepeats
import oxbowlug.standin.SimCloud
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.CloudCodec
import oxbowlug.wire.MachineId
import oxbowlug.wire.RentalRequest
import oxbowlug.wire.TypeName
import oxbowlug.wire.Zone
import oxbowlug.wire.fields

/**
 * Serves the cloud's stand-in over HTTP, on one address for each controller. The machine list that a controller gets
 * has the worker addresses reserved for that controller.
 */
internal class CloudServer(
    time: VirtualTime,
    private val cloud: SimCloud,
    private val network: Network,
    private val traffic: Traffic,
    rps: Double,
    private val repeats: RequestRepeats,
) {
    private val rateLimiter = RateLimiter(time, rps, BURST_S)

    fun start(vertx: Vertx, topology: Topology): List<Future<*>> = topology.controllers.map { controller ->
        vertx.serveCbor(controller.cloudHost, topology.ports.cloud) { exchange ->
            val caller = Endpoint.Controller(controller)
            network.deliver(caller, Endpoint.CloudProvider) {
                exchange.rejectingMalformed {
                    val (status, body) = handle(exchange, controller, topology.ports.workers)
                    network.deliver(Endpoint.CloudProvider, caller) { exchange.reply(status, body) }
                }
            }
        }
    }

    private fun handle(
        exchange: HttpExchange,
        controller: ControllerIdentity,
        port: Int,
    ): Pair<Int, Map<String, Any?>> {
        traffic.cloudCalls++
        if (cloud.down) return HttpStatus.UNAVAILABLE to mapOf("error" to "trouble")
        if (!rateLimiter.tryAcquire()) return HttpStatus.TOO_MANY_REQUESTS to mapOf("error" to "rate")
        return when (exchange.path) {
            "/machine_types" -> HttpStatus.OK to mapOf("breeds" to cloud.types.map(StandInCodec::encodeType))
            "/rentals" ->
                if (exchange.request.method() == HttpMethod.POST) rent(exchange) else list(exchange, controller, port)
            "/rentals/return" -> {
                val machines = exchange.body().fields().texts("herd", CloudCodec.MAX_RELEASED).map(::MachineId)
                cloud.returnMachines(machines)
                repeats.onExecuted { cloud.returnMachines(machines) }
                HttpStatus.OK to emptyMap()
            }
            else -> HttpStatus.NOT_FOUND to emptyMap()
        }
    }

    private fun rent(exchange: HttpExchange): Pair<Int, Map<String, Any?>> {
        val fields = exchange.body().fields()
        val request = RentalRequest(
            fields.text("hire"), TypeName(fields.text("breed")), Zone(fields.text("paddock")), fields.flag("stray"),
            fields.count("count", 1, CloudCodec.MAX_RENTED.toLong()).toInt(),
        )
        if (cloud.types.none { it.name == request.type }) return HttpStatus.BAD_REQUEST to mapOf(
            "error" to "unknown type",
        )
        return when (val outcome = cloud.rent(request)) {
            is RentalOutcome.Rented -> {
                repeats.onExecuted { cloud.rent(request) }
                HttpStatus.OK to mapOf("herd" to outcome.machines.map { it.value })
            }
            RentalOutcome.NoCapacity, RentalOutcome.Refused, RentalOutcome.Unanswered ->
                HttpStatus.UNAVAILABLE to mapOf("error" to "no capacity")
        }
    }

    private fun list(exchange: HttpExchange, controller: ControllerIdentity, port: Int): Pair<Int, Map<String, Any?>> {
        val from = exchange.parameter("from").orEmpty()
        val limit = exchange.parameter("limit")?.toIntOrNull()?.coerceIn(1, CloudCodec.MAX_LISTED)
            ?: CloudCodec.MAX_LISTED
        val remaining = cloud.list().filter { it.id.value > from }
        val page = remaining.take(limit).map { machine ->
            val host = WorkerAddresses.host(WorkerAddresses.numberOf(machine.id.value), controller.index)
            StandInCodec.encodeListed(machine, "$host:$port")
        }
        return HttpStatus.OK to mapOf("herd" to page, "more" to (remaining.size > limit))
    }

    private companion object {
        const val BURST_S = 2
    }
}
