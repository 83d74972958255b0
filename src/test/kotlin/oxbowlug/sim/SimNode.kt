package oxbowlug.sim

import oxbowlug.config.Address
import oxbowlug.config.Settings
import oxbowlug.controller.Controller
import oxbowlug.controller.ControllerEvent
import oxbowlug.controller.ControllerStatus
import oxbowlug.lease.HeartbeatResponse
import oxbowlug.port.CancellationNotice
import oxbowlug.port.ChangesOutcome
import oxbowlug.port.CloudPort
import oxbowlug.port.CommandOutcome
import oxbowlug.port.CommitOutcome
import oxbowlug.port.Invariant
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.port.Meters
import oxbowlug.port.PeerPort
import oxbowlug.port.RentalOutcome
import oxbowlug.port.StatePort
import oxbowlug.port.WorkerPort
import oxbowlug.record.Member
import oxbowlug.standin.HeartbeatTarget
import oxbowlug.standin.RequestRepeats
import oxbowlug.standin.SimCloud
import oxbowlug.standin.SimStore
import oxbowlug.standin.SimWorker
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.FencingToken
import oxbowlug.wire.ListedMachine
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.ReadPage
import oxbowlug.wire.RentalRequest
import oxbowlug.wire.Transaction
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone
import kotlin.random.Random

/**
 * Network and state-service faults that the simulation injects at present. A `Double` is the probability that the
 * fault hits one message or transaction; 0 switches the fault off.
 */
internal class ActiveFaults(
    /** Loss of the request or of the response of a call. */
    var lossProbability: Double = 0.0,
    /** Execution of a request up to [maxDelayMs] late, while its caller sees a timeout. */
    var delayProbability: Double = 0.0,
    var maxDelayMs: Long = 20_000,
) {
    /** Transactions that the state service applies promptly (within 5 ms) without answering. */
    var unansweredWrites = 0.0

    /** Answered transactions whose answer takes 50 ms to 1.5 s, while a watch delivers the change at once. */
    var slowWriteAnswers = 0.0

    /** Extra delay of each page of a read, on top of the network delay; null for none. */
    var pageDelayMs: LongRange? = null

    /** Transactions that the state service refuses because of its rate limit. */
    var refusedWrites = 0.0

    /** Frames between two controllers that make their link stall: it delays all frames for 2 to 20 s. */
    var peerLinkStalls = 0.0

    /** Transactions that get no answer and are applied 2 to 12 s later, after newer transactions. */
    var delayedWrites = 0.0

    /** Worker heartbeats of which a controller receives a copy 2 s to two worker leases later. */
    var duplicateHeartbeats = 0.0

    /** Worker heartbeats of which every controller receives a copy after the next change of leader. */
    var heartbeatsForNextLeader = 0.0

    /** Zones that are each partitioned from everything outside them. */
    val isolatedZones = HashSet<Zone>()

    /** Zones of one region that reach each other but nothing outside the region. */
    val isolatedRegion = HashSet<Zone>()

    /** Whether the two zones can't reach each other; null stands for a service or user outside all zones. */
    fun arePartitioned(
        one: Zone?,
        other: Zone?,
    ): Boolean =
        one != other &&
            (one in isolatedZones || other in isolatedZones) ||
            (one in isolatedRegion) != (other in isolatedRegion)
}

/**
 * One controller on virtual time: the production [Controller] with simulated ports that lose and delay messages and
 * execute requests late.
 */
internal class SimNode(
    private val time: VirtualTime,
    private val settings: Settings,
    private val store: SimStore,
    private val cloud: SimCloud,
    private val activeFaults: ActiveFaults,
    private val repeats: RequestRepeats,
    private val workerAt: (Address) -> SimWorker?,
    private val peers: () -> List<SimNode>,
) : HeartbeatTarget {
    private val clock = DriftingClock(time, time.random.nextDouble(0.0, 0.0005), time.between(-50, 50))

    /** Advances with each start and each crash, so that callbacks of an earlier process are dropped. */
    private var currentGeneration = 0

    /** Records all messages that this controller sends; null to record nothing. */
    var trace: PortTrace? = null

    /**
     * The next start runs the previous version: it announces no data format and doesn't see entries of newer formats
     * ([OldVersion]).
     */
    var isOldVersion = false
    private var core: Controller? = null

    override val label: String get() = settings.label
    val zone: Zone get() = settings.zone

    val isUnreachableByUsers: Boolean get() = isolated || withoutUsers || activeFaults.arePartitioned(zone, null)
    val isUp: Boolean get() = core != null

    /** Published values of the running controller; null while it is down. */
    val status: ControllerStatus? get() = core?.status

    /** Planning rounds since the simulation began, over all restarts. */
    var plans = 0L
        private set

    /** Machines priced in these rounds. */
    var priced = 0L
        private set

    /** Called with each transaction that this controller sends. */
    var onTransaction: (Transaction) -> Unit = {}

    /** Partitioned from the state service. */
    var withoutState = false

    /** Partitioned from the workers. */
    var withoutWorkers = false

    /** Partitioned from the cloud. */
    var withoutCloud = false

    /** Partitioned from the users. */
    var withoutUsers = false

    /** Partitioned from the other controllers. */
    var withoutPeers = false

    /** Partitioned from everything. */
    var isolated = false

    /** Open watches of the state service get no answer; all other calls are served. */
    var dropsWatchAnswers = false

    /** Until this time the process is stopped as by SIGSTOP: its clocks run on, and incoming events are queued. */
    var pausedUntil = 0L
    private val remainingPauseMs: Long get() = (pausedUntil - time.nowMs).coerceAtLeast(0)

    fun start() {
        val generation = ++currentGeneration
        // Ports belong to one process: responses to calls of an earlier process are dropped.
        val ports = Ports(generation)
        val tracedPorts = trace?.let { TracedPorts(time, label, it, ports, ports, ports, ports) }
        val state: StatePort = tracedPorts ?: ports
        val cloud: CloudPort = tracedPorts ?: ports
        val workers: WorkerPort = tracedPorts ?: ports
        val peers: PeerPort = tracedPorts ?: ports
        var draining = false
        val random = Random(time.random.nextLong())
        val self = Member(label, "life$generation-${random.nextInt(1_000_000)}")
        lateinit var newController: Controller
        newController =
            Controller(settings, self, state, cloud, workers, clock, CountingMeters(), random, peers) {
                if (!draining) {
                    draining = true
                    time.after(remainingPauseMs) {
                        draining = false
                        if (currentGeneration == generation && core != null) newController.drain()
                    }
                }
            }
        core = newController
        tick(generation, newController)
    }

    private fun tick(
        generation: Int,
        running: Controller,
    ) {
        if (currentGeneration != generation || core == null) return
        if (remainingPauseMs > 0) return time.after(remainingPauseMs) { tick(generation, running) }
        running.offer(ControllerEvent.Tick)
        for (peer in peers()) {
            if (peer === this) continue
            val heartbeat = running.heartbeat()
            trace?.heartbeat(time.nowMs, label, heartbeat)
            deliver(peer, minDelayMs = 0) { it.offer(ControllerEvent.PeerHeartbeatReceived(heartbeat)) }
        }
        time.after(50) { tick(generation, running) }
    }

    private val linkStalledUntil = HashMap<SimNode, Long>()

    /**
     * Delivers a frame in order, behind frames that a stalled link delays, even if the sending process has ended
     * meanwhile.
     */
    private fun deliver(
        peer: SimNode,
        minDelayMs: Long,
        onDelivery: (Controller) -> Unit,
    ) {
        if (!reaches(peer)) return
        repeats.onExecuted { if (reaches(peer)) peer.core?.let(onDelivery) }
        val until = linkStalledUntil[peer] ?: 0L
        if (activeFaults.peerLinkStalls > 0.0 && time.nowMs >= until && time.chance(activeFaults.peerLinkStalls)) {
            linkStalledUntil[peer] = time.nowMs + time.between(2_000, 20_000)
        }
        val delayMs = maxOf((linkStalledUntil[peer] ?: 0L) - time.nowMs, minDelayMs)
        if (delayMs == 0L) {
            peer.core?.let(onDelivery)
        } else {
            time.after(delayMs) { if (reaches(peer)) peer.core?.let(onDelivery) }
        }
    }

    private fun reaches(peer: SimNode) =
        !isolated &&
            !peer.isolated &&
            !withoutPeers &&
            !peer.withoutPeers &&
            !activeFaults.arePartitioned(zone, peer.zone)

    fun crash() {
        core = null
        currentGeneration++
    }

    override fun receive(
        workerHeartbeat: WorkerHeartbeat,
        answer: (HeartbeatResponse?) -> Unit,
    ) {
        val running = core

        fun isCutOff() = isolated || withoutWorkers || activeFaults.arePartitioned(zone, workerHeartbeat.zone)

        if (isCutOff()) return
        if (running == null) {
            answer(null)
        } else {
            running.offer(
                ControllerEvent.Heartbeat(workerHeartbeat) {
                    trace?.heartbeatResponse(time.nowMs, label, workerHeartbeat, it)
                    if (!isCutOff()) answer(it)
                },
            )
        }
    }

    /** Returns false if the controller is down, unreachable by users or refuses the event. */
    fun sendRequest(command: ControllerEvent): Boolean = !isUnreachableByUsers && (core?.offer(command) ?: false)

    private inner class Ports(
        private val generation: Int,
    ) : StatePort,
        CloudPort,
        WorkerPort,
        PeerPort {
        override fun send(
            label: String,
            notice: CancellationNotice,
        ) {
            val peer = peers().first { it.label == label }
            deliver(peer, minDelayMs = 1) { it.offer(ControllerEvent.CancellationNoticeReceived(notice)) }
        }

        override fun broadcastHeartbeat() = Unit

        override fun status(
            endpoint: Address,
            done: (WorkerHeartbeat?) -> Unit,
        ) {
            val worker = workerAt(endpoint)
            val isCutOff = isolated || withoutWorkers || activeFaults.arePartitioned(zone, worker?.zone)
            if (isCutOff || worker == null || !worker.alive) return complete(TIMEOUT_MS, null, done)
            var answered = false
            time.after(time.between(1, 15)) {
                worker.status { workerHeartbeat ->
                    if (!answered) {
                        answered = true
                        complete(time.between(1, 15), workerHeartbeat, done)
                    }
                }
            }
            time.after(TIMEOUT_MS) {
                if (!answered) {
                    answered = true
                    complete(0, null, done)
                }
            }
        }

        private fun <T> complete(
            delayMs: Long,
            outcome: T,
            done: (T) -> Unit,
        ) {
            time.after(delayMs) {
                if (currentGeneration == generation) core?.offer(ControllerEvent.CallCompleted { done(outcome) })
            }
        }

        /** Simulates a call whose request or response may be lost and whose request may be executed late. */
        private fun <T> call(
            isReachable: () -> Boolean,
            ifUnreachable: T,
            ifUnanswered: T,
            done: (T) -> Unit,
            execute: () -> T,
        ) {
            if (isolated || !isReachable()) return complete(time.between(1, 10), ifUnreachable, done)
            if (time.chance(activeFaults.delayProbability)) {
                complete(TIMEOUT_MS, ifUnanswered, done)
                time.after(time.between(TIMEOUT_MS / 2, activeFaults.maxDelayMs)) { if (isReachable()) execute() }
                return
            }
            if (time.chance(activeFaults.lossProbability)) return complete(TIMEOUT_MS, ifUnanswered, done)
            time.after(time.between(1, 5)) {
                if (!isReachable()) {
                    complete(1, ifUnreachable, done)
                } else {
                    val outcome = execute()
                    repeats.onExecuted { if (isReachable()) execute() }
                    val isAnswerLost = time.chance(activeFaults.lossProbability)
                    complete(
                        if (isAnswerLost) TIMEOUT_MS else time.between(1, 5),
                        if (isAnswerLost) ifUnanswered else outcome,
                        done,
                    )
                }
            }
        }

        private fun reachesState() = !store.down && !withoutState && !activeFaults.arePartitioned(zone, null)

        /** Fixed for the process: a write in flight keeps its version when the controller is upgraded meanwhile. */
        private val runsOldVersion = isOldVersion

        override fun commit(
            transaction: Transaction,
            done: (CommitOutcome) -> Unit,
        ) {
            onTransaction(transaction)
            if (runsOldVersion && transaction.changes.any { OldVersion.isUnknownKey(it.key) }) {
                return complete(time.between(1, 10), CommitOutcome.Applied(0), done)
            }
            val stored = if (runsOldVersion) OldVersion.toOldWrite(transaction) else transaction
            val isAppliedPromptly = time.chance(activeFaults.unansweredWrites)
            if (reachesState() && !isolated && (isAppliedPromptly || time.chance(activeFaults.delayedWrites))) {
                complete(TIMEOUT_MS, CommitOutcome.Unanswered, done)
                val delayMs = if (isAppliedPromptly) time.between(1, 5) else time.between(2_000, 12_000)
                return time.after(delayMs) { if (!store.down) store.commit(stored) }
            }
            if (occurs(activeFaults.refusedWrites)) return complete(time.between(1, 10), CommitOutcome.Refused, done)
            if (reachesState() && !isolated && occurs(activeFaults.slowWriteAnswers)) return commitSlowly(stored, done)
            call(::reachesState, CommitOutcome.Refused, CommitOutcome.Unanswered, done) { store.commit(stored) }
        }

        /** Draws no random number if the fault is off, so that scenarios without it keep their random sequence. */
        private fun occurs(probability: Double): Boolean = probability > 0.0 && time.chance(probability)

        private fun commitSlowly(
            transaction: Transaction,
            done: (CommitOutcome) -> Unit,
        ) = time.after(time.between(1, 5)) {
            val outcome = if (store.down) CommitOutcome.Refused else store.commit(transaction)
            repeats.onExecuted { if (!store.down) store.commit(transaction) }
            complete(time.between(50, 1_500), outcome, done)
        }

        override fun readPage(
            prefix: String,
            after: String?,
            done: (ReadPage?) -> Unit,
        ) {
            val delayRangeMs = activeFaults.pageDelayMs ?: return readNow(prefix, after, done)
            time.after(time.between(delayRangeMs)) { readNow(prefix, after, done) }
        }

        private fun readNow(
            prefix: String,
            after: String?,
            done: (ReadPage?) -> Unit,
        ) = call<ReadPage?>(::reachesState, null, null, done) {
            store.read(prefix, after, 7).let { if (runsOldVersion) OldVersion.toOldRead(it) else it }
        }

        override fun changes(
            prefix: String,
            from: Long,
            waitMs: Long,
            done: (ChangesOutcome) -> Unit,
        ) {
            if (waitMs == 0L) {
                return call(::reachesState, ChangesOutcome.Failed, ChangesOutcome.Failed, done) {
                    visibleChanges(store.changes(prefix, from))
                }
            }
            if (isolated || !reachesState()) return complete(5, ChangesOutcome.Failed, done)
            var answered = false
            store.watch(prefix, from, waitMs) { outcome ->
                if (!answered && reachesState() && !isolated && !dropsWatchAnswers) {
                    answered = true
                    complete(time.between(1, 5), visibleChanges(outcome), done)
                }
            }
            time.after(waitMs + TIMEOUT_MS) {
                if (!answered) {
                    answered = true
                    complete(0, ChangesOutcome.Failed, done)
                }
            }
        }

        private fun visibleChanges(outcome: ChangesOutcome): ChangesOutcome =
            if (runsOldVersion && outcome is ChangesOutcome.Read) {
                ChangesOutcome.Read(OldVersion.toOldRead(outcome.changes))
            } else {
                outcome
            }

        override fun grantLease(
            ttlMs: Long,
            done: (Long?) -> Unit,
        ) = call<Long?>(::reachesState, null, null, done) { store.grantLease(ttlMs) }

        override fun keepLeaseAlive(
            lease: Long,
            done: (LeaseRenewalOutcome) -> Unit,
        ) = call(
            ::reachesState,
            LeaseRenewalOutcome.FAILED,
            LeaseRenewalOutcome.FAILED,
            done,
        ) { store.keepLeaseAlive(lease) }

        override fun revokeLease(lease: Long) = call(::reachesState, Unit, Unit, {}) { store.revokeLease(lease) }

        private fun reachesCloud() = !cloud.down && !withoutCloud && !activeFaults.arePartitioned(zone, null)

        override fun types(done: (List<MachineType>?) -> Unit) =
            call<List<MachineType>?>(::reachesCloud, null, null, done) { cloud.types }

        override fun rent(
            request: RentalRequest,
            done: (RentalOutcome) -> Unit,
        ) = call(::reachesCloud, RentalOutcome.Refused, RentalOutcome.Unanswered, done) { cloud.rent(request) }

        override fun releaseMachines(
            machines: List<MachineId>,
            done: (Boolean) -> Unit,
        ) = call(::reachesCloud, false, false, done) {
            cloud.returnMachines(machines)
            true
        }

        override fun list(done: (List<ListedMachine>?) -> Unit) =
            call<List<ListedMachine>?>(::reachesCloud, null, null, done) { cloud.list() }

        override fun command(
            endpoint: Address,
            token: FencingToken,
            incarnation: Long,
            commands: List<WorkerCommand>,
            done: (CommandOutcome) -> Unit,
        ) {
            val worker = workerAt(endpoint)
            val isCutOff = isolated || withoutWorkers || activeFaults.arePartitioned(zone, worker?.zone)
            if (isCutOff || worker == null || !worker.alive) return complete(TIMEOUT_MS, CommandOutcome.NotSent, done)
            var answered = false
            val isLate = time.chance(activeFaults.delayProbability)
            val delay = if (isLate) time.between(TIMEOUT_MS, activeFaults.maxDelayMs) else time.between(1, 15)
            time.after(delay) {
                worker.direct(token, incarnation, commands) { workerHeartbeat, executed ->
                    if (!answered && !time.chance(activeFaults.lossProbability)) {
                        answered = true
                        complete(time.between(1, 15), CommandOutcome.Answered(workerHeartbeat, executed), done)
                    }
                }
            }
            time.after(TIMEOUT_MS) {
                if (!answered) {
                    answered = true
                    complete(0, CommandOutcome.Unanswered, done)
                }
            }
        }
    }

    private inner class CountingMeters : Meters {
        override fun recordPlan(
            nanos: Long,
            priced: Int,
        ) {
            plans++
            this@SimNode.priced += priced
        }

        override fun recordStep(nanos: Long) = Unit

        override fun recordQueueDelay(millis: Long) = Unit

        override fun recordCommit(millis: Long) = Unit

        override fun recordRefusal(reason: String) = Unit

        override fun recordViolation(invariant: Invariant): Nothing =
            throw AssertionError("${time.nowMs} ms $label: invariant ${invariant.label} is violated")
    }

    private companion object {
        const val TIMEOUT_MS = 2000L
    }
}
