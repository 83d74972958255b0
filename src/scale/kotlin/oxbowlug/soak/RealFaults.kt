package oxbowlug.soak

import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.scale.ControllerProcess
import oxbowlug.scale.Endpoint
import oxbowlug.scale.HollowFleet
import oxbowlug.scale.Network
import oxbowlug.scale.StateFaults
import oxbowlug.standin.HeartbeatTarget
import oxbowlug.standin.SimStore
import oxbowlug.standin.SimWorker
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone

/** Brings faults about on real controller processes and on the stand-ins around them. */
internal class RealFaults(
    private val time: VirtualTime,
    private val zones: List<Zone>,
    private val network: Network,
    private val store: SimStore,
    private val stateFaults: StateFaults,
    private val fleet: HollowFleet,
    private val load: SoakLoad,
    private val controllers: List<ControllerProcess>,
    private val leaseMs: Long,
) {
    private var repeatedReports = 0.0
    private val keptForNext = ArrayList<Pair<WorkerHeartbeat, List<HeartbeatTarget>>>()
    private var keepsForNext = false
    private var lastLeader: String? = null

    init {
        fleet.onReportSent = ::repeatReport
        time.every(LOOK_MS) { bringKept() }
    }

    fun play(schedule: FaultSchedule) {
        for (fault in schedule.faults) time.after(fault.atMs) { begin(fault) }
    }

    private fun leaderLabel(): String? {
        val entry = store.entry(Keys.LEADERSHIP) ?: return null
        return LeadershipRecord.decode(entry.value, entry.version).leader.label
    }

    private fun leader(): ControllerProcess =
        leaderLabel().let { label -> controllers.firstOrNull { it.place.label == label } ?: controllers[0] }

    private fun begin(fault: Fault) {
        val controller = controllers[fault.target % controllers.size]
        when (fault.kind) {
            FaultKind.KILL_CONTROLLER -> kill(listOf(controller), fault)
            FaultKind.KILL_LEADER -> kill(listOf(leader()), fault)
            FaultKind.KILL_ALL_CONTROLLERS -> kill(controllers, fault)
            FaultKind.PAUSE_CONTROLLER -> pause(controller, fault)
            FaultKind.PAUSE_LEADER -> pause(leader(), fault)
            FaultKind.CUT_CONTROLLER_FROM_STATE -> refuse(controller, fault)
            FaultKind.CUT_LEADER_FROM_STATE -> refuse(leader(), fault)
            FaultKind.CUT_LEADER_FROM_STATE_AND_PEERS -> isolate(leader(), fault)
            FaultKind.CUT_CONTROLLER_FROM_STATE_AND_PEERS -> isolate(controller, fault)
            FaultKind.CUT_CONTROLLER_FROM_PEERS -> cut(controller, fault) { it is Endpoint.Controller }
            FaultKind.CUT_LEADER_FROM_PEERS -> cut(leader(), fault) { it is Endpoint.Controller }
            FaultKind.CUT_CONTROLLER_FROM_WORKERS -> cut(controller, fault) { it is Endpoint.Worker }
            FaultKind.CUT_LEADER_FROM_WORKERS -> cut(leader(), fault) { it is Endpoint.Worker }
            FaultKind.CUT_CONTROLLER_FROM_USERS -> cut(controller, fault) { it == Endpoint.UserSide }
            FaultKind.CUT_LEADER_FROM_CLOUD -> cut(leader(), fault) { it == Endpoint.CloudProvider }
            FaultKind.CUT_ZONE -> network.cutZone(zones[fault.target % zones.size], fault.forMs)
            FaultKind.STATE_OUTAGE -> hold(fault) { store.down = it }
            FaultKind.CLOUD_OUTAGE -> hold(fault) { fleet.cloud.down = it }
            FaultKind.DROP_LEADER_WATCH_ANSWERS -> holdIndex(stateFaults.heldWatches, leader(), fault)
            FaultKind.REFUSE_WRITES -> hold(fault) { stateFaults.refusedWrites = if (it) OFTEN else 0.0 }
            FaultKind.SLOW_WRITE_ANSWERS -> hold(fault) { stateFaults.slowAnswers = if (it) OFTEN else 0.0 }
            FaultKind.LOSE_WRITE_ANSWERS -> hold(fault) { stateFaults.lostAnswers = if (it) OFTEN else 0.0 }
            FaultKind.DELAY_WRITES -> hold(fault) { stateFaults.lateWrites = if (it) OFTEN else 0.0 }
            FaultKind.DISCARD_CHANGE_HISTORY -> store.discardChangeHistory()
            FaultKind.LOSE_MESSAGES -> hold(fault) { network.lostToWorkers = if (it) SELDOM else 0.0 }
            FaultKind.DELAY_MESSAGES -> hold(fault) { network.lateToWorkers = if (it) SELDOM else 0.0 }
            FaultKind.DUPLICATE_HEARTBEATS -> hold(fault) { repeatedReports = if (it) SELDOM else 0.0 }
            FaultKind.REPLAY_OLD_HEARTBEATS -> hold(fault) { keepsForNext = it }
            FaultKind.STALL_PEER_LINKS ->
                network.cutLinks(fault.forMs) { from, to -> from is Endpoint.Controller && to is Endpoint.Controller }
            FaultKind.UNRESPONSIVE_WORKERS -> some(fault).forEach { it.unresponsiveUntil = time.nowMs + fault.forMs }
            FaultKind.LOSE_HEARTBEATS -> some(fault).forEach { it.heartbeatsLostUntil = time.nowMs + fault.forMs }
            FaultKind.HANG_WORKERS -> some(fault).forEach { it.hungUntil = time.nowMs + fault.forMs }
            FaultKind.LOSE_ANSWERS_THEN_HEARTBEATS -> some(fault).forEach { LostAnswers(time, leaseMs).begin(it) }
            FaultKind.CANCEL_RUNNING -> load.cancelRunning(1 + fault.target % MOST_JOBS)
            FaultKind.CANCEL_RUNNING_AND_HANG ->
                load.cancelRunning(1 + fault.target % MOST_JOBS).forEach { it.hungUntil = time.nowMs + fault.forMs }
        }
    }

    private fun hold(fault: Fault, set: (Boolean) -> Unit) {
        set(true)
        time.after(fault.forMs) { set(false) }
    }

    private fun holdIndex(indexes: MutableSet<Int>, controller: ControllerProcess, fault: Fault) = hold(fault) {
        if (it) indexes.add(controller.place.index) else indexes.remove(controller.place.index)
    }

    /** Every other time the state service refuses it at once; else what it sends there is held, and comes late. */
    private fun refuse(controller: ControllerProcess, fault: Fault) {
        if (fault.target % 2 == 0) {
            holdIndex(stateFaults.refusedControllers, controller, fault)
        } else {
            cut(controller, fault) { it == Endpoint.StateService }
        }
    }

    private fun isolate(controller: ControllerProcess, fault: Fault) {
        refuse(controller, fault)
        cut(controller, fault) { it is Endpoint.Controller }
    }

    /** One time in three only what it sends is held, and one in three only what it is sent. */
    private fun cut(controller: ControllerProcess, fault: Fault, isOther: (Endpoint) -> Boolean) {
        val self = Endpoint.Controller(controller.place)
        val direction = fault.target / 2 % DIRECTIONS
        network.cutLinks(fault.forMs) { from, to ->
            direction != ONLY_IN && from == self && isOther(to) || direction != ONLY_OUT && to == self && isOther(from)
        }
    }

    private fun kill(which: List<ControllerProcess>, fault: Fault) {
        which.forEach { it.kill() }
        time.after(fault.forMs) { which.filterNot { it.isAlive }.forEach { it.start() } }
    }

    private fun pause(controller: ControllerProcess, fault: Fault) {
        controller.pause()
        time.after(fault.forMs) { controller.resume() }
    }

    private fun some(fault: Fault): List<SimWorker> =
        fleet.cloud.workers.shuffled(time.random).take(1 + fault.target % MOST_WORKERS)

    private fun repeatReport(report: WorkerHeartbeat, targets: List<HeartbeatTarget>) {
        if (keepsForNext) keptForNext.add(report to targets)
        if (repeatedReports == 0.0 || !time.chance(repeatedReports)) return
        val target = targets[time.random.nextInt(targets.size)]
        time.after(time.between(LATE_REPORT_MS)) { target.receive(report) { } }
    }

    /** Old reports reach every controller just as another one begins to lead. */
    private fun bringKept() {
        val label = leaderLabel()
        if (label == lastLeader) return
        lastLeader = label
        for ((report, targets) in keptForNext.takeLast(MOST_KEPT)) targets.forEach { it.receive(report) { } }
        keptForNext.clear()
    }

    private companion object {
        const val LOOK_MS = 50L
        const val OFTEN = 0.4
        const val SELDOM = 0.1
        const val MOST_WORKERS = 4
        const val MOST_JOBS = 6
        const val MOST_KEPT = 40
        const val DIRECTIONS = 3
        const val ONLY_OUT = 1
        const val ONLY_IN = 2
        val LATE_REPORT_MS = 500L..(SoakOptions.LEASE_S * 2_000).toLong()
    }
}
