package oxbowlug.sim

import oxbowlug.config.Address
import oxbowlug.config.Settings
import oxbowlug.controller.Controller
import oxbowlug.controller.ControllerEvent
import oxbowlug.lease.HeartbeatResponse
import oxbowlug.port.CancellationNotice
import oxbowlug.port.ChangesOutcome
import oxbowlug.port.CloudPort
import oxbowlug.port.CommitOutcome
import oxbowlug.port.CommandOutcome
import oxbowlug.port.Invariant
import oxbowlug.port.Meters
import oxbowlug.port.PeerPort
import oxbowlug.port.RentalOutcome
import oxbowlug.port.StatePort
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.port.WorkerPort
import oxbowlug.record.Member
import oxbowlug.standin.HeartbeatTarget
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

/** Faults of messages, as shares of them. */
internal class Weather(
    var lost: Double = 0.0,
    var late: Double = 0.0,
    var lateMs: Long = 20_000,
) {
    /** Shares of transactions that get no answer: carried out at once, or 2 to 12 s later, after newer ones. */
    var unansweredWrites = 0.0

    /**
     * Share of the answered transactions whose answer takes 50 ms to 1.5 s, while the watch brings the change at once.
     */
    var slowAnswers = 0.0

    /** How long each page of a read takes, beside its way; null: no longer. */
    var slowPages: LongRange? = null

    /** Share of transactions that the state service refuses for their rate. */
    var refusedWrites = 0.0

    /** Share of the frames between controllers at which a link begins to hold all of them for 2 to 20 s. */
    var heldFrames = 0.0
    var lateWrites = 0.0

    /** Share of reports of which a copy comes again, up to two leases later. */
    var lateReports = 0.0

    /** The same, but kept until another controller leads, and then brought to every controller. */
    var reportsForNext = 0.0

    /** Zones that are cut off from everything outside them. */
    val cutZones = HashSet<Zone>()

    /** Zones that reach one another but nothing else: a region that is apart from the others. */
    val separatedZones = HashSet<Zone>()

    /** Whether these two can't reach each other; null stands for what belongs to no zone. */
    fun apart(
        one: Zone?,
        other: Zone?,
    ): Boolean =
        one != other && (one in cutZones || other in cutZones) || (one in separatedZones) != (other in separatedZones)
}

/** One controller: the real core on virtual time, with ports that lose, delay and execute late. */
internal class SimNode(
    private val time: VirtualTime,
    private val settings: Settings,
    private val store: SimStore,
    private val cloud: SimCloud,
    private val weather: Weather,
    private val endpoints: (Address) -> SimWorker?,
    private val peers: () -> List<SimNode>,
) : HeartbeatTarget {
    private val clock = DriftingClock(time, time.random.nextDouble(0.0, 0.0005), time.between(-50, 50))
    private var lives = 0

    /** Is told of all that leaves this controller, if anything. */
    var trace: PortTrace? = null

    /** The version before: announces no data format, and doesn't see what came after it. */
    var isOld = false
    private var core: Controller? = null

    override val label: String get() = settings.label
    val zone: Zone get() = settings.zone

    /** Users can't reach it. */
    val isAway: Boolean get() = cut || withoutUsers || weather.apart(zone, null)
    val isUp: Boolean get() = core != null

    /** Counted over all its lives. */
    var plans = 0L
        private set
    var priced = 0L
        private set

    /** Cut from the state service alone. */
    var withoutState = false

    /** Cut from the workers alone. */
    var withoutWorkers = false

    /** Cut from the cloud alone. */
    var withoutCloud = false

    /** Cut from the users alone. */
    var withoutUsers = false

    /** Cut from the other controllers alone. */
    var withoutPeers = false

    /** Cut from everything. */
    var cut = false

    /** Its reads of changes that wait for one get no answer. */
    var holdsWatch = false

    /** Stands still until then, as a stopped process does: its clocks run on, and what comes for it waits. */
    var pausedUntil = 0L
    private val pauseLeftMs: Long get() = (pausedUntil - time.nowMs).coerceAtLeast(0)

    fun start() {
        val life = ++lives
        // Ports belong to one life of the process: what comes back for an earlier one reaches nobody.
        val ports = Ports(life)
        val outside = trace?.let { TracedPorts(time, label, it, ports, ports, ports, ports) }
        val state: StatePort = outside ?: ports
        val cloud: CloudPort = outside ?: ports
        val workers: WorkerPort = outside ?: ports
        val peers: PeerPort = outside ?: ports
        var draining = false
        val random = Random(time.random.nextLong())
        val self = Member(label, "life$life-${random.nextInt(1_000_000)}")
        lateinit var started: Controller
        started =
            Controller(settings, self, state, cloud, workers, clock, Counting(), random, peers) {
                if (!draining) {
                    draining = true
                    time.after(pauseLeftMs) {
                        draining = false
                        if (lives == life && core != null) started.drain()
                    }
                }
            }
        core = started
        tick(life, started)
    }

    private fun tick(
        life: Int,
        running: Controller,
    ) {
        if (lives != life || core == null) return
        if (pauseLeftMs > 0) return time.after(pauseLeftMs) { tick(life, running) }
        running.offer(ControllerEvent.Tick)
        for (peer in peers()) {
            if (peer === this) continue
            val heartbeat = running.heartbeat()
            trace?.heartbeat(time.nowMs, label, heartbeat)
            deliver(peer, usualMs = 0) { it.offer(ControllerEvent.PeerHeartbeatReceived(heartbeat)) }
        }
        time.after(50) { tick(life, running) }
    }

    private val heldUntil = HashMap<SimNode, Long>()

    /** In order, also what was held on its way, and also when this process has ended meanwhile. */
    private fun deliver(
        peer: SimNode,
        usualMs: Long,
        frame: (Controller) -> Unit,
    ) {
        if (!reaches(peer)) return
        val until = heldUntil[peer] ?: 0L
        if (weather.heldFrames > 0.0 && time.nowMs >= until && time.chance(weather.heldFrames)) {
            heldUntil[peer] = time.nowMs + time.between(2_000, 20_000)
        }
        val delayMs = maxOf((heldUntil[peer] ?: 0L) - time.nowMs, usualMs)
        if (delayMs == 0L) {
            peer.core?.let(frame)
        } else {
            time.after(delayMs) { if (reaches(peer)) peer.core?.let(frame) }
        }
    }

    private fun reaches(peer: SimNode) =
        !cut && !peer.cut && !withoutPeers && !peer.withoutPeers && !weather.apart(zone, peer.zone)

    fun crash() {
        core = null
        lives++
    }

    override fun receive(
        workerHeartbeat: WorkerHeartbeat,
        answer: (HeartbeatResponse?) -> Unit,
    ) {
        val running = core

        fun isCut() = cut || withoutWorkers || weather.apart(zone, workerHeartbeat.zone)

        if (isCut()) return
        if (running == null) {
            answer(null)
        } else {
            running.offer(
                ControllerEvent.Heartbeat(workerHeartbeat) {
                    trace?.reportAnswer(time.nowMs, label, workerHeartbeat, it)
                    if (!isCut()) answer(it)
                },
            )
        }
    }

    /** False when nobody listens. */
    fun ask(command: ControllerEvent): Boolean = !isAway && (core?.offer(command) ?: false)

    private inner class Ports(
        private val life: Int,
    ) : StatePort,
        CloudPort,
        WorkerPort,
        PeerPort {
        override fun send(
            label: String,
            notice: CancellationNotice,
        ) {
            val peer = peers().first { it.label == label }
            deliver(peer, usualMs = 1) { it.offer(ControllerEvent.CancellationNoticeReceived(notice)) }
        }

        override fun broadcastHeartbeat() = Unit

        override fun status(
            endpoint: Address,
            done: (WorkerHeartbeat?) -> Unit,
        ) {
            val worker = endpoints(endpoint)
            val isCut = cut || withoutWorkers || weather.apart(zone, worker?.zone)
            if (isCut || worker == null || !worker.alive) return settle(TIMEOUT_MS, null, done)
            var answered = false
            time.after(time.between(1, 15)) {
                worker.status { workerHeartbeat ->
                    if (!answered) {
                        answered = true
                        settle(time.between(1, 15), workerHeartbeat, done)
                    }
                }
            }
            time.after(TIMEOUT_MS) {
                if (!answered) {
                    answered = true
                    settle(0, null, done)
                }
            }
        }

        private fun <T> settle(
            delayMs: Long,
            outcome: T,
            done: (T) -> Unit,
        ) {
            time.after(delayMs) { if (lives == life) core?.offer(ControllerEvent.CallCompleted { done(outcome) }) }
        }

        /** A call whose request or answer may be lost, and whose request may be executed late. */
        private fun <T> call(
            reachable: () -> Boolean,
            away: T,
            lost: T,
            done: (T) -> Unit,
            execute: () -> T,
        ) {
            if (cut || !reachable()) return settle(time.between(1, 10), away, done)
            if (time.chance(weather.late)) {
                settle(TIMEOUT_MS, lost, done)
                time.after(time.between(TIMEOUT_MS / 2, weather.lateMs)) { if (reachable()) execute() }
                return
            }
            if (time.chance(weather.lost)) return settle(TIMEOUT_MS, lost, done)
            time.after(time.between(1, 5)) {
                if (!reachable()) {
                    settle(1, away, done)
                } else {
                    val outcome = execute()
                    val answerLost = time.chance(weather.lost)
                    settle(if (answerLost) TIMEOUT_MS else time.between(1, 5), if (answerLost) lost else outcome, done)
                }
            }
        }

        private fun stateUp() = !store.down && !withoutState && !weather.apart(zone, null)

        /** Of this life: an old process that ends with a write on its way stays what it was. */
        private val runsOld = isOld

        override fun commit(
            transaction: Transaction,
            done: (CommitOutcome) -> Unit,
        ) {
            if (runsOld && transaction.changes.any { OldVersion.ignores(it.key) }) {
                return settle(time.between(1, 10), CommitOutcome.Applied(0), done)
            }
            val written = if (runsOld) OldVersion.writes(transaction) else transaction
            val atOnce = time.chance(weather.unansweredWrites)
            if (stateUp() && !cut && (atOnce || time.chance(weather.lateWrites))) {
                settle(TIMEOUT_MS, CommitOutcome.Unanswered, done)
                val delayMs = if (atOnce) time.between(1, 5) else time.between(2_000, 12_000)
                return time.after(delayMs) { if (!store.down) store.commit(written) }
            }
            if (happens(weather.refusedWrites)) return settle(time.between(1, 10), CommitOutcome.Refused, done)
            if (stateUp() && !cut && happens(weather.slowAnswers)) return commitAnsweredLate(written, done)
            call(::stateUp, CommitOutcome.Refused, CommitOutcome.Unanswered, done) { store.commit(written) }
        }

        /** Draws no number for a trouble that the day doesn't have, so that other days stay what they were. */
        private fun happens(share: Double): Boolean = share > 0.0 && time.chance(share)

        private fun commitAnsweredLate(
            transaction: Transaction,
            done: (CommitOutcome) -> Unit,
        ) = time.after(time.between(1, 5)) {
            val outcome = if (store.down) CommitOutcome.Refused else store.commit(transaction)
            settle(time.between(50, 1_500), outcome, done)
        }

        override fun readPage(
            prefix: String,
            after: String?,
            done: (ReadPage?) -> Unit,
        ) {
            val slow = weather.slowPages ?: return readNow(prefix, after, done)
            time.after(time.between(slow)) { readNow(prefix, after, done) }
        }

        private fun readNow(
            prefix: String,
            after: String?,
            done: (ReadPage?) -> Unit,
        ) = call<ReadPage?>(::stateUp, null, null, done) {
            store.read(prefix, after, 7).let { if (runsOld) OldVersion.reads(it) else it }
        }

        override fun changes(
            prefix: String,
            from: Long,
            waitMs: Long,
            done: (ChangesOutcome) -> Unit,
        ) {
            if (waitMs == 0L) {
                return call(::stateUp, ChangesOutcome.Failed, ChangesOutcome.Failed, done) {
                    seen(store.changes(prefix, from))
                }
            }
            if (cut || !stateUp()) return settle(5, ChangesOutcome.Failed, done)
            var answered = false
            store.watch(prefix, from, waitMs) { outcome ->
                if (!answered && stateUp() && !cut && !holdsWatch) {
                    answered = true
                    settle(time.between(1, 5), seen(outcome), done)
                }
            }
            time.after(waitMs + TIMEOUT_MS) {
                if (!answered) {
                    answered = true
                    settle(0, ChangesOutcome.Failed, done)
                }
            }
        }

        private fun seen(outcome: ChangesOutcome): ChangesOutcome =
            if (runsOld && outcome is ChangesOutcome.Read) {
                ChangesOutcome.Read(OldVersion.reads(outcome.changes))
            } else {
                outcome
            }

        override fun grantLease(
            ttlMs: Long,
            done: (Long?) -> Unit,
        ) = call<Long?>(::stateUp, null, null, done) { store.grantLease(ttlMs) }

        override fun keepLeaseAlive(
            lease: Long,
            done: (LeaseRenewalOutcome) -> Unit,
        ) = call(::stateUp, LeaseRenewalOutcome.FAILED, LeaseRenewalOutcome.FAILED, done) { store.keepLeaseAlive(lease) }

        override fun revokeLease(lease: Long) = call(::stateUp, Unit, Unit, {}) { store.revokeLease(lease) }

        private fun cloudUp() = !cloud.down && !withoutCloud && !weather.apart(zone, null)

        override fun types(done: (List<MachineType>?) -> Unit) =
            call<List<MachineType>?>(::cloudUp, null, null, done) { cloud.types }

        override fun rent(
            request: RentalRequest,
            done: (RentalOutcome) -> Unit,
        ) = call(::cloudUp, RentalOutcome.Refused, RentalOutcome.Unanswered, done) { cloud.rent(request) }

        override fun releaseMachines(
            machines: List<MachineId>,
            done: (Boolean) -> Unit,
        ) = call(::cloudUp, false, false, done) {
            cloud.returnMachines(machines)
            true
        }

        override fun list(done: (List<ListedMachine>?) -> Unit) =
            call<List<ListedMachine>?>(::cloudUp, null, null, done) { cloud.list() }

        override fun command(
            endpoint: Address,
            token: FencingToken,
            incarnation: Long,
            commands: List<WorkerCommand>,
            done: (CommandOutcome) -> Unit,
        ) {
            val worker = endpoints(endpoint)
            val isCut = cut || withoutWorkers || weather.apart(zone, worker?.zone)
            if (isCut || worker == null || !worker.alive) return settle(TIMEOUT_MS, CommandOutcome.NotSent, done)
            var answered = false
            val isLate = time.chance(weather.late)
            val delay = if (isLate) time.between(TIMEOUT_MS, weather.lateMs) else time.between(1, 15)
            time.after(delay) {
                worker.direct(token, incarnation, commands) { workerHeartbeat, executed ->
                    if (!answered && !time.chance(weather.lost)) {
                        answered = true
                        settle(time.between(1, 15), CommandOutcome.Answered(workerHeartbeat, executed), done)
                    }
                }
            }
            time.after(TIMEOUT_MS) {
                if (!answered) {
                    answered = true
                    settle(0, CommandOutcome.Unanswered, done)
                }
            }
        }
    }

    private inner class Counting : Meters {
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
            throw AssertionError("${time.nowMs} ms $label: ${invariant.label} is violated")
    }

    private companion object {
        const val TIMEOUT_MS = 2000L
    }
}
