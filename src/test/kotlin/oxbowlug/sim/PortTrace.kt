package oxbowlug.sim

import oxbowlug.config.Address
import oxbowlug.lease.HeartbeatResponse
import oxbowlug.peer.PeerFrameCodec
import oxbowlug.port.CancellationNotice
import oxbowlug.port.ChangesOutcome
import oxbowlug.port.CloudPort
import oxbowlug.port.CommandOutcome
import oxbowlug.port.CommitOutcome
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.port.PeerHeartbeat
import oxbowlug.port.PeerPort
import oxbowlug.port.RentalOutcome
import oxbowlug.port.StatePort
import oxbowlug.port.WorkerPort
import oxbowlug.request.UserResponse
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.Cbor
import oxbowlug.wire.CloudCodec
import oxbowlug.wire.FencingToken
import oxbowlug.wire.ListedMachine
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.ReadPage
import oxbowlug.wire.RentalRequest
import oxbowlug.wire.ResponseCodec
import oxbowlug.wire.StateCodec
import oxbowlug.wire.Transaction
import oxbowlug.wire.WorkerCodec
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat
import java.security.MessageDigest
import java.util.HexFormat

/**
 * A digest of all messages that simulated controllers send through their ports, and of all responses that users get,
 * each with its simulated time and sender. Messages enter the digest in their wire format, so that identifiers in the
 * code don't affect it.
 */
internal class PortTrace {
    private val digest = MessageDigest.getInstance("SHA-256")

    /** Number of recorded messages. */
    var messages = 0
        private set

    /** The first 16 hexadecimal digits of the SHA-256 digest of all messages so far. */
    fun digest(): String {
        val soFar = digest.clone() as MessageDigest
        return HexFormat.of().formatHex(soFar.digest()).take(DIGITS)
    }

    fun record(
        atMs: Long,
        sender: String,
        description: String,
        body: ByteArray = ByteArray(0),
    ) {
        messages++
        digest.update("$atMs $sender $description ${body.size}\n".encodeToByteArray())
        digest.update(body)
    }

    fun heartbeat(
        atMs: Long,
        sender: String,
        heartbeat: PeerHeartbeat,
    ) = record(atMs, sender, "heartbeat", PeerFrameCodec.encode(heartbeat).readByteArray())

    fun heartbeatResponse(
        atMs: Long,
        sender: String,
        heartbeat: WorkerHeartbeat,
        answer: HeartbeatResponse,
    ) {
        val (status, body) =
            when (answer) {
                is HeartbeatResponse.Renewed -> 200 to WorkerCodec.encodeResponse(answer.token, answer.commands)
                is HeartbeatResponse.Redirect -> 421 to ResponseCodec.redirect(answer.label)
                HeartbeatResponse.Unavailable -> 503 to emptyMap()
            }
        record(atMs, sender, "report ${heartbeat.machine.value} $status", Cbor.encode(body))
    }

    fun userResponse(
        atMs: Long,
        answer: UserResponse?,
    ) {
        val (status, body) =
            when (answer) {
                null -> 0 to emptyMap()
                is UserResponse.Accepted -> 201 to ResponseCodec.accepted(answer.status)
                is UserResponse.Known -> 200 to ResponseCodec.polled(answer.status)
                is UserResponse.Malformed -> 400 to ResponseCodec.problem(answer.problem)
                is UserResponse.Rejected -> 422 to ResponseCodec.problem(answer.problem)
                UserResponse.NotFound -> 404 to emptyMap()
                is UserResponse.Unavailable -> 503 to ResponseCodec.problem(answer.reason)
                is UserResponse.Overloaded -> 429 to emptyMap()
            }
        record(atMs, "user", "$status", Cbor.encode(body))
    }

    private companion object {
        const val DIGITS = 16
    }
}

/** Decorates the ports of one controller: records each call in [trace] before forwarding it. */
internal class TracedPorts(
    private val time: VirtualTime,
    private val label: String,
    private val trace: PortTrace,
    private val state: StatePort,
    private val cloud: CloudPort,
    private val workers: WorkerPort,
    private val peers: PeerPort,
) : StatePort,
    CloudPort,
    WorkerPort,
    PeerPort {
    private fun record(
        description: String,
        body: ByteArray = ByteArray(0),
    ) = trace.record(time.nowMs, label, description, body)

    override fun commit(
        transaction: Transaction,
        done: (CommitOutcome) -> Unit,
    ) {
        record("commit", Cbor.encode(StateCodec.encode(transaction)))
        state.commit(transaction, done)
    }

    override fun readPage(
        prefix: String,
        after: String?,
        done: (ReadPage?) -> Unit,
    ) {
        record("read $prefix $after")
        state.readPage(prefix, after, done)
    }

    override fun changes(
        prefix: String,
        from: Long,
        waitMs: Long,
        done: (ChangesOutcome) -> Unit,
    ) {
        record("changes $prefix $from $waitMs")
        state.changes(prefix, from, waitMs, done)
    }

    override fun grantLease(
        ttlMs: Long,
        done: (Long?) -> Unit,
    ) {
        record("grant $ttlMs")
        state.grantLease(ttlMs, done)
    }

    override fun keepLeaseAlive(
        lease: Long,
        done: (LeaseRenewalOutcome) -> Unit,
    ) {
        record("touch $lease")
        state.keepLeaseAlive(lease, done)
    }

    override fun revokeLease(lease: Long) {
        record("release $lease")
        state.revokeLease(lease)
    }

    override fun types(done: (List<MachineType>?) -> Unit) {
        record("types")
        cloud.types(done)
    }

    override fun rent(
        request: RentalRequest,
        done: (RentalOutcome) -> Unit,
    ) {
        record("rent", Cbor.encode(CloudCodec.encodeRental(request)))
        cloud.rent(request, done)
    }

    override fun releaseMachines(
        machines: List<MachineId>,
        done: (Boolean) -> Unit,
    ) {
        record("return", Cbor.encode(CloudCodec.encodeRelease(machines)))
        cloud.releaseMachines(machines, done)
    }

    override fun list(done: (List<ListedMachine>?) -> Unit) {
        record("list")
        cloud.list(done)
    }

    override fun status(
        endpoint: Address,
        done: (WorkerHeartbeat?) -> Unit,
    ) {
        record("status $endpoint")
        workers.status(endpoint, done)
    }

    override fun command(
        endpoint: Address,
        token: FencingToken,
        incarnation: Long,
        commands: List<WorkerCommand>,
        done: (CommandOutcome) -> Unit,
    ) {
        record("command $endpoint", Cbor.encode(WorkerCodec.encodeDirectCommands(token, incarnation, commands)))
        workers.command(endpoint, token, incarnation, commands, done)
    }

    override fun send(
        label: String,
        notice: CancellationNotice,
    ) {
        record("to $label", PeerFrameCodec.encode(notice).readByteArray())
        peers.send(label, notice)
    }

    override fun broadcastHeartbeat() {
        record("heartbeat changed")
        peers.broadcastHeartbeat()
    }
}
