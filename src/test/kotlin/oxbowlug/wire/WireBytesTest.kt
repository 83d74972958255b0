package oxbowlug.wire

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.cloud.CloudClient
import oxbowlug.config.Address
import oxbowlug.config.WriteLimits
import oxbowlug.http.HttpCaller
import oxbowlug.peer.PeerFrameCodec
import oxbowlug.port.CancellationAcknowledgement
import oxbowlug.port.Cancellation
import oxbowlug.port.CancellationNotice
import oxbowlug.port.HeartbeatEcho
import oxbowlug.port.PeerHeartbeat
import oxbowlug.record.DataFormat
import oxbowlug.record.JobRecord
import oxbowlug.record.Keys
import oxbowlug.record.Member
import oxbowlug.record.Phase
import oxbowlug.record.Placement
import oxbowlug.record.RecordLayout
import oxbowlug.state.StateClient
import oxbowlug.worker.WorkerClient
import java.util.BitSet
import java.util.HexFormat
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * Bytes as they were written when the code was cut into packages: stored values of data format 2, frames between
 * controllers, and every request and answer over HTTP. Other versions, workers, users and stored data rely on them.
 */
internal class WireBytesTest {
    private val spec = JobSpecCodec.decode(JobSpecCodecTest.valid())
    private val attempt = AttemptId(TaskId(JobId("run-1"), 3), 2)
    private val commands =
        listOf(
            WorkerCommand.Start(attempt),
            WorkerCommand.Stop(attempt, 4.5),
            WorkerCommand.Forget(attempt),
        )

    private fun bits(vararg indexes: Int) = BitSet().apply { indexes.forEach(::set) }

    @Test
    fun `stored values, frames and bodies are the bytes they were`() {
        assertSame("bodies", values() + frames())
    }

    @Test
    fun `requests to state service, cloud and workers are the bytes they were`() {
        assertSame("requests", requests())
    }

    private fun values(): Map<String, ByteArray> {
        val placements = (0 until 40).associateWith { Placement(MachineId("host-%06d".format(it)), 3L) }
        val wide = JobRecord(spec.copy(tasks = 60), 123, Phase.ACTIVE, bits(41, 43, 50), 4, placements, "n0-x-2")
        val form = RecordLayout(WriteLimits(30.0, 0.75, 12)).split(wide.encode()) ?: error("it is too large")
        val parts = form.parts.withIndex().associate { (index, part) -> "part $index" to part }
        val transaction =
            Transaction(
                listOf(Condition("ox/a", 7), Condition("ox/b", 0)),
                listOf(Change.Put("ox/a", mapOf("x" to 1L)), Change.Put("ox/m", emptyMap(), 5), Change.Delete("ox/c")),
            )
        val view = JobStatus(JobId("run-1"), JobState.RUNNING, 3, 2)
        val bodies =
            mapOf(
                "head" to form.head,
                "format" to DataFormat.encode(DataFormat.NEWEST),
                "transaction" to StateCodec.encode(transaction),
                "report answer" to WorkerCodec.encodeResponse(FencingToken(9), commands),
                "direct command" to WorkerCodec.encodeDirectCommands(FencingToken(9), 4, commands),
                "redirect" to ResponseCodec.redirect("n1"),
                "accepted" to ResponseCodec.accepted(view),
                "polled" to ResponseCodec.polled(view),
                "problem" to ResponseCodec.problem("a field is missing"),
                "keys" to
                    mapOf(
                        "all" to Keys.ROOT,
                        "job" to Keys.job("run-1"),
                        "part" to Keys.part("run-1", 2),
                        "view" to Keys.LEADERSHIP,
                        "member" to Keys.member(Member("n0", "x1")),
                        "delegates" to Keys.DELEGATES,
                        "format" to Keys.FORMAT_MARKER,
                        "reads" to Keys.format("n0"),
                    ),
            )
        return (bodies + parts).mapValues { (_, body) -> Cbor.encode(body) }
    }

    private fun frames(): Map<String, ByteArray> {
        val self = Member("n0", "x1")
        val leader = Member("n1", "y2")
        val record =
            JobRecord(
                spec,
                5,
                Phase.CANCELLED,
                BitSet(),
                2,
                mapOf(0 to Placement(MachineId("host-1"), 1)),
                "w-1",
                77,
            )
        val heartbeat =
            PeerHeartbeat(
                self,
                7,
                leader,
                reachesState = true,
                sendTimeMs = 41,
                echo = HeartbeatEcho(leader, 40, 3),
                hasUnacknowledgedCancellations = true,
                mayConfirmCancellations = true,
            )
        val cancelled = CancellationNotice.Cancelled(self, Cancellation(JobId("run-1"), 9, record.encode()))
        val known =
            CancellationNotice.Acknowledged(
                self,
                listOf(CancellationAcknowledgement(JobId("run-1"), isTerminationProven = true)),
            )
        return mapOf(
            "frame heartbeat" to PeerFrameCodec.encode(heartbeat),
            "frame cancelled" to PeerFrameCodec.encode(cancelled),
            "frame acknowledged" to PeerFrameCodec.encode(known),
            "frame images" to PeerFrameCodec.encode(mapOf(MachineId("host-1") to listOf(ImageName("img-1")))),
        ).mapValues { (_, frame) -> frame.readByteArray() }
    }

    /** Every call of every client, as its server gets it. */
    private fun requests(): Map<String, ByteArray> {
        val vertx = Vertx.vertx()
        val seen = LinkedHashMap<String, ByteArray>()
        try {
            val server = runBlocking { listen(vertx, seen) }
            callAll(vertx, Address("127.0.0.1", server.actualPort()))
        } finally {
            vertx
                .close()
                .toCompletionStage()
                .toCompletableFuture()
                .get(CALL_S, TimeUnit.SECONDS)
        }
        return seen
    }

    private suspend fun listen(
        vertx: Vertx,
        seen: MutableMap<String, ByteArray>,
    ): HttpServer =
        vertx
            .createHttpServer()
            .requestHandler { request: HttpServerRequest ->
                request.body().onSuccess { body: Buffer ->
                    seen["${request.method()} ${request.uri()}"] = body.bytes
                    request.response().setStatusCode(503).end()
                }
            }.listen(0, "127.0.0.1")
            .coAwait()

    private fun callAll(
        vertx: Vertx,
        address: Address,
    ) {
        val scope = CoroutineScope(vertx.dispatcher())
        val http = HttpCaller(vertx, 1)
        val runOnEventLoop: (() -> Unit) -> Unit = { it() }
        val state = StateClient(address, http, scope, CALL_MS, runOnEventLoop)
        val cloud = CloudClient(address, http, scope, CALL_MS, runOnEventLoop)
        val workers = WorkerClient(http, scope, CALL_MS, runOnEventLoop)
        val rental = RentalRequest("n0-x-1", TypeName("g8"), Zone("a"), spot = true, count = 2)
        val transaction = Transaction(emptyList(), listOf(Change.Delete("ox/c")))
        val calls =
            listOf<(() -> Unit) -> Unit>(
                { done -> state.commit(transaction) { done() } },
                { done -> state.readPage("ox/", null) { done() } },
                { done -> state.readPage("ox/", "ox/j/run-1") { done() } },
                { done -> state.changes("ox/", 7, 0) { done() } },
                { done -> state.changes("ox/", 7, 250) { done() } },
                { done -> state.grantLease(3_000) { done() } },
                { done -> state.keepLeaseAlive(5) { done() } },
                { done -> cloud.types { done() } },
                { done -> cloud.rent(rental) { done() } },
                { done -> cloud.releaseMachines(listOf(MachineId("host-1"))) { done() } },
                { done -> cloud.list { done() } },
                { done -> workers.status(address) { done() } },
                { done -> workers.command(address, FencingToken(9), 4, commands) { done() } },
                { done ->
                    state.revokeLease(5)
                    state.keepLeaseAlive(6) { done() }
                },
            )
        for (call in calls) {
            val answered = CompletableFuture<Unit>()
            call { answered.complete(Unit) }
            answered.get(CALL_S, TimeUnit.SECONDS)
        }
    }

    private fun assertSame(
        fixture: String,
        found: Map<String, ByteArray>,
    ) {
        val hex = HexFormat.of()
        val text = found.entries.joinToString("\n") { (name, bytes) -> "$name: ${hex.formatHex(bytes)}" }
        val expected = javaClass.getResource("/production/$fixture.txt")?.readText().orEmpty()
        assertEquals(expected.lines().filter { it.isNotBlank() && !it.startsWith("#") }.joinToString("\n"), text)
    }

    private companion object {
        const val CALL_MS = 5_000L
        const val CALL_S = 10L
    }
}
