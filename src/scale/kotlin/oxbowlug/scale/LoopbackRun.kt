package oxbowlug.scale

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import oxbowlug.config.WriteLimits
import oxbowlug.standin.SimStore
import oxbowlug.standin.VirtualTime
import oxbowlug.standin.isAttemptStored
import java.util.concurrent.TimeUnit

/**
 * What every run on loopback stands on: the stand-ins and users on one event loop of this process, the controllers as
 * processes of their own. Everything that it starts ends with [close], which may be called from any thread but that
 * event loop.
 */
internal abstract class LoopbackRun(
    val options: ScaleOptions,
    /** Whether each task that starts has to be in a stored record; that costs a decoded record a start. */
    checksStored: Boolean,
    classPath: String? = null,
) : AutoCloseable {
    val vertx: Vertx = Vertx.vertx(
        VertxOptions().setEventLoopPoolSize(1).setBlockedThreadCheckInterval(1)
            .setBlockedThreadCheckIntervalUnit(TimeUnit.HOURS),
    )
    val time = VirtualTime(options.seed)
    protected val topology = Topology(options)
    protected val network = Network(time, topology)
    val traffic = Traffic()
    val store = SimStore(time).apply {
        limits = WriteLimits(options.writeRps, FleetPlan.VALUE_KB, FleetPlan.TXN_OPS)
    }
    protected val stateFaults = StateFaults()
    protected val plan = FleetPlan(options, topology)
    val fleet = HollowFleet(
        options, topology, time, plan, ReportConnections(vertx, network, traffic, topology.ports.workers),
        if (checksStored) store::isAttemptStored else { _ -> true },
    )
    val users = Users(vertx, time, topology, network, fleet.checker)
    val controllers: List<ControllerProcess> = ControllerFiles(options, topology, plan, classPath).processes()
    val clock = RealTime(vertx, time).also { network.beforeDelivery = it::follow }

    protected suspend fun listen() {
        val state = StateServer(time, store, network, traffic, options.stateRps, stateFaults)
        val servers = state.start(vertx, topology) +
            CloudServer(time, fleet.cloud, network, traffic, options.cloudRps).start(vertx, topology) +
            PeerProxies(vertx, network, traffic).start(topology) +
            WorkerServer(network, traffic, topology, fleet.cloud::at).start(vertx)
        Future.all<Any>(servers).coAwait()
    }

    /** Throws [StartFailed] when a controller ends, or doesn't serve in time. */
    protected suspend fun awaitHealthy() {
        val began = time.nowMs
        while (users.healthyCount < controllers.size) {
            val ended = controllers.firstOrNull { !it.isAlive }
            if (ended != null || time.nowMs - began > START_MS) {
                val named = ended ?: controllers[0]
                throw StartFailed("${named.place.label} doesn't serve; its last lines:\n${named.lastLines()}")
            }
            delay(LOOK_MS)
        }
    }

    override fun close() {
        clock.stop()
        controllers.forEach { it.kill() }
        // Not waited for, its ports were still taken when the next seed wanted them, and a soak of fifty broke off.
        vertx.close().toCompletionStage().toCompletableFuture().get(CLOSE_S, TimeUnit.SECONDS)
    }

    private companion object {
        const val LOOK_MS = 100L
        const val START_MS = 60_000L
        const val CLOSE_S = 20L
    }
}
