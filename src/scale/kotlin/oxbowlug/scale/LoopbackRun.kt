package oxbowlug.scale

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import oxbowlug.config.WriteLimits
import oxbowlug.standin.RequestRepeats
import oxbowlug.standin.SimStore
import oxbowlug.standin.VirtualTime
import oxbowlug.standin.isAttemptStored
import java.util.concurrent.TimeUnit

/**
 * Base of all runs on loopback: the stand-ins and users run on one event loop of this process, each controller in its
 * own process. [close] stops everything that the run started; it may be called from any thread but that event loop.
 */
internal abstract class LoopbackRun(
    val options: ScaleOptions,
    /** Whether to check that a stored record names each task that starts; each check decodes one record. */
    checksStoredRecords: Boolean,
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
    protected val repeats = RequestRepeats(time, options.seed)
    protected val plan = FleetPlan(options, topology)
    val fleet = HollowFleet(
        options, topology, time, plan, HeartbeatConnections(vertx, network, traffic, topology.ports.workers),
        if (checksStoredRecords) store::isAttemptStored else { _ -> true },
    ).also { it.onDirectCommandsExecuted = repeats::onExecuted }
    val users = Users(vertx, time, topology, network, fleet.checker)
    val controllers: List<ControllerProcess> = ControllerFiles(options, topology, plan, classPath).processes()
    val clock = WallClock(vertx, time).also { network.beforeDelivery = it::catchUp }

    protected suspend fun listen() {
        val state = StateServer(time, store, network, traffic, options.stateRps, stateFaults, repeats)
        val servers = state.start(vertx, topology) +
            CloudServer(time, fleet.cloud, network, traffic, options.cloudRps, repeats).start(vertx, topology) +
            PeerProxies(vertx, network, traffic).start(topology) +
            WorkerServer(network, traffic, topology, fleet.cloud::at).start(vertx)
        Future.all<Any>(servers).coAwait()
    }

    /** Throws [StartFailed] if a controller exits, or isn't healthy within [START_TIMEOUT_MS]. */
    protected suspend fun awaitHealthy() {
        val startedMs = time.nowMs
        while (users.healthyCount < controllers.size) {
            val ended = controllers.firstOrNull { !it.isAlive }
            if (ended != null || time.nowMs - startedMs > START_TIMEOUT_MS) {
                val failing = ended ?: controllers[0]
                throw StartFailed("${failing.identity.label} isn't healthy; last lines:\n${failing.lastLogLines()}")
            }
            delay(POLL_MS)
        }
    }

    override fun close() {
        clock.stop()
        controllers.forEach { it.kill() }
        // Without this wait the ports were still in use when the next seed needed them: a soak of 50 seeds aborted.
        vertx.close().toCompletionStage().toCompletableFuture().get(CLOSE_TIMEOUT_S, TimeUnit.SECONDS)
    }

    private companion object {
        const val POLL_MS = 100L
        const val START_TIMEOUT_MS = 60_000L
        const val CLOSE_TIMEOUT_S = 20L
    }
}
