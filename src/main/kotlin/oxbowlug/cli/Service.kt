package oxbowlug.cli

import io.vertx.core.Context
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import io.vertx.core.logging.SLF4JLogDelegateFactory
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import org.slf4j.LoggerFactory
import oxbowlug.api.ApiServer
import oxbowlug.api.ServiceMetrics
import oxbowlug.cloud.CloudClient
import oxbowlug.config.Settings
import oxbowlug.controller.Controller
import oxbowlug.controller.ControllerEvent
import oxbowlug.http.HttpCaller
import oxbowlug.peer.PeerTransport
import oxbowlug.peer.PeerMessage
import oxbowlug.port.Clock
import oxbowlug.record.Member
import oxbowlug.state.StateClient
import oxbowlug.timing.Timing
import oxbowlug.worker.WorkerClient
import java.io.File
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit
import kotlin.math.ceil
import kotlin.random.Random

/** Wires the core to its adapters, all on one event loop. */
internal class Service(
    private val settings: Settings,
) {
    private lateinit var controller: Controller
    private var draining = false

    fun start() {
        tune()
        val vertx =
            Vertx.vertx(
                VertxOptions()
                    .setEventLoopPoolSize(1)
                    .setWorkerPoolSize(1)
                    .setInternalBlockingPoolSize(1)
                    .setPreferNativeTransport(false)
                    .setBlockedThreadCheckInterval(1)
                    .setBlockedThreadCheckIntervalUnit(TimeUnit.HOURS)
                    .setFileSystemOptions(
                        FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false),
                    ),
            )
        val context = vertx.getOrCreateContext()
        context.runOnContext { run(vertx, context) }
    }

    private fun run(
        vertx: Vertx,
        context: Context,
    ) {
        val scope = CoroutineScope(vertx.dispatcher() + SupervisorJob())
        val metrics =
            ServiceMetrics(
                windowNanos = TimeUnit.SECONDS.toNanos((settings.policy.replanS * METRICS_WINDOW_REPLANS).toLong()),
            )
        val runOnEventLoop: (
            () -> Unit,
        ) -> Unit = { action -> if (!controller.offer(ControllerEvent.CallCompleted(action))) overflow() }
        val leaseMs = (settings.workers.leaseS * 1000).toLong()
        val stateCalls = HttpCaller(vertx, STATE_CONNECTIONS, maxQueuedCalls = settings.limits.maxSockets)
        val state = StateClient(settings.stateAddress, stateCalls, scope, leaseMs / 5, runOnEventLoop)
        val cloud =
            CloudClient(
                settings.cloudAddress,
                HttpCaller(vertx, CLOUD_CONNECTIONS),
                scope,
                leaseMs / 2,
                runOnEventLoop,
            )
        // Each machine already holds a connection for its reports. Those for commands are closed after some reports'
        // time, or twice as many sockets as machines would be open at once.
        val commandIdleS = ceil(settings.workers.heartbeatIntervalS * 2).toInt()
        val workers = WorkerClient(HttpCaller(vertx, 1, commandIdleS), scope, leaseMs / 5, runOnEventLoop)
        val random = Random(seed())
        val self = Member(settings.label, random.nextLong().toULong().toString(36))
        val heartbeat = { controller.heartbeat() }
        val images = { controller.images() }
        val peers =
            PeerTransport(vertx, settings, Timing(settings, random).peerHeartbeatMs, heartbeat, images) { message ->
                when (message) {
                    is PeerMessage.Heartbeat ->
                        controller.offer(
                            ControllerEvent.PeerHeartbeatReceived(message.heartbeat),
                        )
                    is PeerMessage.Notice ->
                        controller.offer(
                            ControllerEvent.CancellationNoticeReceived(message.notice),
                        )
                    is PeerMessage.Images ->
                        controller.offer(
                            ControllerEvent.ImagesReceived(message.images, message.isFirst),
                        )
                }
            }
        controller =
            Controller(settings, self, state, cloud, workers, SystemClock, metrics, random, peers) {
                wake(context)
            }
        metrics.registerGauges(controller.status)
        peers.start()
        ApiServer(vertx, settings, controller, metrics::text)
            .start()
            .onSuccess { log.info("{} serves on {}", settings.label, settings.clientListen) }
            .onFailure {
                log.error("cannot listen on {}: {}", settings.clientListen, it.message)
                Runtime.getRuntime().halt(1)
            }
        vertx.setPeriodic(controller.timing.tickMs) { controller.offer(ControllerEvent.Tick) }
        controller.offer(ControllerEvent.Tick)
    }

    /** Straight from the system: looking for a provider of secure numbers takes a part of the start, for one number. */
    private fun seed(): Long =
        File("/dev/urandom").inputStream().use { ByteBuffer.wrap(it.readNBytes(Long.SIZE_BYTES)).long }

    /** One drain is scheduled for however many commands come until it runs. */
    private fun wake(context: Context) {
        if (draining) return
        draining = true
        context.runOnContext {
            draining = false
            controller.drain()
        }
    }

    private fun overflow() {
        // An outcome must not be lost: the model would wait for it for ever.
        log.error("the command queue overflows")
        Runtime.getRuntime().halt(1)
    }

    private fun tune() {
        // Names are never looked up, and the buffers are few: the defaults are meant for much larger machines.
        System.setProperty("vertx.disableDnsResolver", "true")
        System.setProperty("vertx.disableMetrics", "true")
        System.setProperty("vertx.disableWebsockets", "true")
        // Not used, since files aren't cached; made up by default, the name takes milliseconds of a start.
        System.setProperty("vertx.cacheDirBase", System.getProperty("java.io.tmpdir"))
        System.setProperty("io.netty.allocator.type", "unpooled")
        System.setProperty("io.netty.recycler.maxCapacityPerThread", "0")
        System.setProperty("io.netty.noUnsafe", "false")
        // The first buffer would start the JVM's flight recorder, nearly a fifth of a whole start, for events that
        // nobody records.
        System.setProperty("io.netty.jfr.enabled", "false")
        // What is named here isn't searched for when the process starts.
        System.setProperty("vertx.logger-delegate-factory-class-name", SLF4JLogDelegateFactory::class.java.name)
        System.setProperty("io.netty.processId", "1")
        System.setProperty("io.netty.machineId", "02:00:00:00:00:00")
    }

    private object SystemClock : Clock {
        override fun steadyMs(): Long = System.nanoTime() / 1_000_000

        override fun wallMs(): Long = System.currentTimeMillis()

        override fun nanoTime(): Long = System.nanoTime()
    }

    private companion object {
        const val STATE_CONNECTIONS = 12
        const val CLOUD_CONNECTIONS = 3

        /** Percentiles cover the last one to two windows, each so many times the replanning interval. */
        const val METRICS_WINDOW_REPLANS = 2
        val log = LoggerFactory.getLogger("cli")
    }
}
