package oxbowlug.cli

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import oxbowlug.config.Address
import oxbowlug.config.Settings
import oxbowlug.config.SettingsFile
import oxbowlug.http.HttpCaller
import java.io.File
import java.net.ServerSocket
import java.util.jar.JarFile
import kotlin.system.exitProcess

/**
 * A run of a few seconds on loopback, made by the build, so that the class-data-sharing archive holds what a
 * controller loads. The service is its own state service and cloud here: it answers itself "no such page", which
 * exercises client and server alike. Loading classes from the archive is most of a fast start.
 */
object Rehearsal {
    private const val ROUNDS = 10
    private const val ROUND_MS = 150L

    fun run() {
        val settings = settings()
        Service(settings).start()
        val vertx = Vertx.vertx()
        CoroutineScope(vertx.dispatcher()).launch {
            val http = HttpCaller(vertx, 2)
            repeat(ROUNDS) {
                delay(ROUND_MS)
                for (path in listOf("/hello", "/work")) {
                    http.call(settings.clientListen, HttpMethod.POST, path, mapOf("id" to "run-1"), 1000)
                }
                for (path in listOf("/healthz", "/metrics", "/work/run-1")) {
                    http.call(settings.clientListen, HttpMethod.GET, path, null, 1000)
                }
            }
            loadOwnClasses()
            exitProcess(0)
        }
    }

    private fun loadOwnClasses() {
        val jar = File(Rehearsal::class.java.protectionDomain.codeSource.location.path)
        if (!jar.isFile) return
        JarFile(jar).use { file ->
            for (entry in file.entries()) {
                if (!entry.name.endsWith(".class")) continue
                Class.forName(entry.name.removeSuffix(".class").replace('/', '.'), false, javaClass.classLoader)
            }
        }
    }

    private fun settings(): Settings {
        val (client, peer) = freePorts()
        return SettingsFile.parse(
            """
            label = "rehearsal"
            location = "here"
            client_listen = "${Address("127.0.0.1", client)}"
            peer_listen = "${Address("127.0.0.1", peer)}"
            [[others]]
            label = "mirror"
            location = "here"
            addr = "${Address("127.0.0.1", peer)}"
            [outside]
            cloud = "${Address("127.0.0.1", client)}"
            state = "${Address("127.0.0.1", client)}"
            [settings]
            zones = ["here"]
            [[settings.teams]]
            name = "all"
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
            """.trimIndent(),
        )
    }

    private fun freePorts(): Pair<Int, Int> =
        ServerSocket(0).use { one -> ServerSocket(0).use { two -> one.localPort to two.localPort } }
}
