package oxbowlug.cli

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import oxbowlug.config.Address
import oxbowlug.config.Settings
import oxbowlug.http.HttpCaller
import oxbowlug.wire.JobId
import java.io.File
import java.io.OutputStream
import java.io.PrintStream
import java.net.ServerSocket
import java.util.jar.JarFile
import kotlin.system.exitProcess

/**
 * Loads every class that a controller uses, so that the build can put them into the class-data-sharing (CDS) archive. A
 * class missing from the archive costs each start tens of milliseconds of processor time, because it is searched for in
 * every jar of the class path. The build runs a controller for a few seconds on loopback with the ordinary start
 * procedure: the controller is elected, responds to a worker, and accepts, plans and cancels jobs, against
 * [StandInServices] in place of the external services.
 */
internal object ClassArchiveWarmUp {
    private const val ROUNDS = 10
    private const val ROUND_MS = 150L
    private const val CALL_TIMEOUT_MS = 1000L

    /** Runs the warm-up and exits the process. [load] reads a settings file as an ordinary start does. */
    fun run(load: (path: String) -> Settings) {
        // Log messages are still formatted, which loads the classes for it, but are kept out of the build's output.
        System.setErr(PrintStream(OutputStream.nullOutputStream()))
        val vertx = Vertx.vertx()
        CoroutineScope(vertx.dispatcher()).launch {
            val services = StandInServices(vertx)
            val port = services.start().coAwait()
            val settings = load(settingsFile(port).path)
            Service(settings).start()
            exerciseController(HttpCaller(vertx, 2), settings.clientListen, port)
            loadOwnClasses()
            exitProcess(0)
        }
    }

    private suspend fun exerciseController(
        http: HttpCaller,
        controller: Address,
        servicesPort: Int,
    ) {
        repeat(ROUNDS) { round ->
            delay(ROUND_MS)
            val id = "warm-up-$round"
            val calls =
                listOf(
                    HttpMethod.POST to "/hello" to StandInServices.heartbeat(round, servicesPort),
                    HttpMethod.POST to "/work" to StandInServices.job(id),
                    HttpMethod.GET to "/work/$id" to null,
                    HttpMethod.POST to "/work/$id/cancel" to null,
                    HttpMethod.GET to "/work/$id" to null,
                    // An invalid submission, for the classes of error responses.
                    HttpMethod.POST to "/work" to mapOf("id" to JobId(id).value),
                    HttpMethod.GET to "/healthz" to null,
                    HttpMethod.GET to "/metrics" to null,
                )
            for ((target, body) in calls) {
                val (method, path) = target
                http.call(controller, method, path, body, CALL_TIMEOUT_MS)
            }
        }
    }

    /** Loads the project's classes that the run above didn't need, such as those for faults. */
    private fun loadOwnClasses() {
        val jar = File(ClassArchiveWarmUp::class.java.protectionDomain.codeSource.location.path)
        if (!jar.isFile) return
        val ownPackage = ClassArchiveWarmUp::class.java.packageName.substringBefore('.') + "/"
        JarFile(jar).use { file ->
            for (entry in file.entries()) {
                if (!entry.name.startsWith(ownPackage) || !entry.name.endsWith(".class")) continue
                Class.forName(entry.name.removeSuffix(".class").replace('/', '.'), false, javaClass.classLoader)
            }
        }
    }

    /**
     * Writes a settings file with two peers: one is this controller itself, so that it sends and receives peer frames,
     * and nothing listens at the address of the other.
     */
    private fun settingsFile(servicesPort: Int): File {
        val (client, peer) = freePorts()
        val services = Address("127.0.0.1", servicesPort)
        val text =
            """
            label = "warm-up"
            location = "here"
            client_listen = "${Address("127.0.0.1", client)}"
            peer_listen = "${Address("127.0.0.1", peer)}"
            [[others]]
            label = "mirror"
            location = "here"
            addr = "${Address("127.0.0.1", peer)}"
            [[others]]
            label = "absent"
            location = "here"
            addr = "${Address("127.0.0.1", 1)}"
            [outside]
            cloud = "$services"
            state = "$services"
            [settings]
            zones = ["here"]
            [[settings.teams]]
            name = "all"
            gpus = 8.0
            gpus_max = 8.0
            [[settings.objectives]]
            kind = "wait"
            class = "any"
            within_s = 40.0
            share = 0.9
            [settings.workers]
            report_s = 1.0
            lease_s = 10.0
            cancel_s = 30.0
            [settings.state]
            rps = 100.0
            write_rps = 20.0
            value_kb = 16.0
            txn_ops = 10
            [settings.cloud]
            rps = 3.0
            list_lag_s = 5.0
            """.trimIndent()
        val file = File.createTempFile("oxbowlug", ".toml")
        file.deleteOnExit()
        file.writeText(text)
        return file
    }

    private fun freePorts(): Pair<Int, Int> =
        ServerSocket(0).use { one -> ServerSocket(0).use { two -> one.localPort to two.localPort } }
}
