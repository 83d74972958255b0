package oxbowlug.soak

import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.scale.ControllerProcess
import oxbowlug.scale.Endpoint
import oxbowlug.scale.HollowFleet
import oxbowlug.scale.Network
import oxbowlug.scale.StateFaults
import oxbowlug.standin.HeartbeatTarget
import oxbowlug.standin.RequestRepeats
import oxbowlug.standin.SimStore
import oxbowlug.standin.SimWorker
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone

/** Injects faults into real controller processes and into the stand-ins around them. */
internal class RealFaults(
    private val time: VirtualTime,
    private val zones: List<Zone>,
    private val network: Network,
    private val store: SimStore,
    private val stateFaults: StateFaults,
    private val repeats: RequestRepeats,
    private val fleet: HollowFleet,
    private val load: SoakLoad,
    private val controllers: List<ControllerProcess>,
    private val leaseMs: Long,
) {
    private var duplicateProbability = 0.0
    private val recordedHeartbeats = ArrayList<Pair<WorkerHeartbeat, List<HeartbeatTarget>>>()
    private var isRecording = false
    private var lastLeader: String? = null

    init {
        fleet.onHeartbeatSent = ::duplicateHeartbeat
        time.every(LEADER_POLL_MS) { replayOnLeaderChange() }
    }

    fun injectAll(schedule: FaultSchedule) {
        for (fault in schedule.faults) time.after(fault.atMs) { inject(fault) }
    }

    private fun leaderLabel(): String? {
        val entry = store.entry(Keys.LEADERSHIP) ?: return null
        return LeadershipRecord.decode(entry.value, entry.version).leader.label
    }

    private fun leader(): ControllerProcess =
        leaderLabel().let { label -> controllers.firstOrNull { it.identity.label == label } ?: controllers[0] }

    private fun inject(fault: Fault) {
        val controller = controllers[fault.target % controllers.size]
        when (fault.kind) {
            FaultKind.KILL_CONTROLLER -> killAndRestart(listOf(controller), fault)
            FaultKind.KILL_LEADER -> killAndRestart(listOf(leader()), fault)
            FaultKind.KILL_ALL_CONTROLLERS -> killAndRestart(controllers, fault)
            FaultKind.PAUSE_CONTROLLER -> pauseAndResume(controller, fault)
            FaultKind.PAUSE_LEADER -> pauseAndResume(leader(), fault)
            FaultKind.CUT_CONTROLLER_FROM_STATE -> cutFromState(controller, fault)
            FaultKind.CUT_LEADER_FROM_STATE -> cutFromState(leader(), fault)
            FaultKind.CUT_LEADER_FROM_STATE_AND_PEERS -> cutFromStateAndPeers(leader(), fault)
            FaultKind.CUT_CONTROLLER_FROM_STATE_AND_PEERS -> cutFromStateAndPeers(controller, fault)
            FaultKind.CUT_CONTROLLER_FROM_PEERS -> cutFromEndpoints(controller, fault) { it is Endpoint.Controller }
            FaultKind.CUT_LEADER_FROM_PEERS -> cutFromEndpoints(leader(), fault) { it is Endpoint.Controller }
            FaultKind.CUT_CONTROLLER_FROM_WORKERS -> cutFromEndpoints(controller, fault) { it is Endpoint.Worker }
            FaultKind.CUT_LEADER_FROM_WORKERS -> cutFromEndpoints(leader(), fault) { it is Endpoint.Worker }
            FaultKind.CUT_CONTROLLER_FROM_USERS -> cutFromEndpoints(controller, fault) { it == Endpoint.UserSide }
            FaultKind.CUT_LEADER_FROM_CLOUD -> cutFromEndpoints(leader(), fault) { it == Endpoint.CloudProvider }
            FaultKind.CUT_ZONE -> network.cutZone(zones[fault.target % zones.size], fault.forMs)
            FaultKind.STATE_OUTAGE -> during(fault) { store.down = it }
            FaultKind.CLOUD_OUTAGE -> during(fault) { fleet.cloud.down = it }
            FaultKind.DROP_LEADER_WATCH_ANSWERS -> addDuring(stateFaults.unansweredWatches, leader(), fault)
            FaultKind.REFUSE_WRITES -> during(fault) { stateFaults.refusedWrites = if (it) FREQUENT else 0.0 }
            FaultKind.SLOW_WRITE_ANSWERS -> during(fault) { stateFaults.slowWriteAnswers = if (it) FREQUENT else 0.0 }
            FaultKind.LOSE_WRITE_ANSWERS -> during(fault) { stateFaults.lostWriteAnswers = if (it) FREQUENT else 0.0 }
            FaultKind.DELAY_WRITES -> during(fault) { stateFaults.delayedWrites = if (it) FREQUENT else 0.0 }
            FaultKind.DISCARD_CHANGE_HISTORY -> store.discardChangeHistory()
            FaultKind.LOSE_MESSAGES -> during(fault) { network.workerLossProbability = if (it) OCCASIONAL else 0.0 }
            FaultKind.DELAY_MESSAGES -> during(fault) { network.workerDelayProbability = if (it) OCCASIONAL else 0.0 }
            FaultKind.DUPLICATE_HEARTBEATS -> during(fault) { duplicateProbability = if (it) OCCASIONAL else 0.0 }
            FaultKind.REPLAY_OLD_HEARTBEATS -> during(fault) { isRecording = it }
            FaultKind.STALL_PEER_LINKS ->
                network.cutLinks(fault.forMs) { from, to -> from is Endpoint.Controller && to is Endpoint.Controller }
            FaultKind.UNRESPONSIVE_WORKERS ->
                selectWorkers(fault).forEach { it.unresponsiveUntil = time.nowMs + fault.forMs }
            FaultKind.LOSE_HEARTBEATS ->
                selectWorkers(fault).forEach { it.heartbeatsLostUntil = time.nowMs + fault.forMs }
            FaultKind.HANG_WORKERS -> selectWorkers(fault).forEach { it.hungUntil = time.nowMs + fault.forMs }
            FaultKind.LOSE_ANSWERS_THEN_HEARTBEATS ->
                selectWorkers(fault).forEach { LostAnswers(time, leaseMs).begin(it) }
            FaultKind.REPEAT_REQUESTS -> during(fault) { repeats.probability = if (it) MOST else 0.0 }
            FaultKind.CANCEL_RUNNING -> load.cancelRunning(1 + fault.target % MAX_JOBS)
            FaultKind.CANCEL_RUNNING_AND_HANG ->
                load.cancelRunning(1 + fault.target % MAX_JOBS).forEach { it.hungUntil = time.nowMs + fault.forMs }
        }
    }

    private fun during(fault: Fault, set: (Boolean) -> Unit) {
        set(true)
        time.after(fault.forMs) { set(false) }
    }

    private fun addDuring(indexes: MutableSet<Int>, controller: ControllerProcess, fault: Fault) = during(fault) {
        if (it) indexes.add(controller.identity.index) else indexes.remove(controller.identity.index)
    }

    /**
     * Cuts the controller from the state service: for an even target the service refuses the controller's calls at
     * once, for an odd one the network holds the messages between them and delivers them late.
     */
    private fun cutFromState(controller: ControllerProcess, fault: Fault) {
        if (fault.target % 2 == 0) {
            addDuring(stateFaults.refusedControllers, controller, fault)
        } else {
            cutFromEndpoints(controller, fault) { it == Endpoint.StateService }
        }
    }

    private fun cutFromStateAndPeers(controller: ControllerProcess, fault: Fault) {
        cutFromState(controller, fault)
        cutFromEndpoints(controller, fault) { it is Endpoint.Controller }
    }

    /**
     * Cuts the controller from all endpoints for which [isRemote] holds. The fault's target selects, a third each,
     * whether the cut holds messages in both directions, only the outbound ones, or only the inbound ones.
     */
    private fun cutFromEndpoints(controller: ControllerProcess, fault: Fault, isRemote: (Endpoint) -> Boolean) {
        val self = Endpoint.Controller(controller.identity)
        val direction = fault.target / 2 % DIRECTION_COUNT
        network.cutLinks(fault.forMs) { from, to ->
            direction != INBOUND_ONLY && from == self && isRemote(to) ||
                direction != OUTBOUND_ONLY && to == self && isRemote(from)
        }
    }

    private fun killAndRestart(processes: List<ControllerProcess>, fault: Fault) {
        processes.forEach { it.kill() }
        time.after(fault.forMs) { processes.filterNot { it.isAlive }.forEach { it.start() } }
    }

    private fun pauseAndResume(controller: ControllerProcess, fault: Fault) {
        controller.pause()
        time.after(fault.forMs) { controller.resume() }
    }

    private fun selectWorkers(fault: Fault): List<SimWorker> =
        fleet.cloud.workers.shuffled(time.random).take(1 + fault.target % MAX_WORKERS)

    private fun duplicateHeartbeat(heartbeat: WorkerHeartbeat, targets: List<HeartbeatTarget>) {
        if (isRecording) recordedHeartbeats.add(heartbeat to targets)
        if (duplicateProbability == 0.0 || !time.chance(duplicateProbability)) return
        val target = targets[time.random.nextInt(targets.size)]
        time.after(time.between(DUPLICATE_DELAY_MS)) { target.receive(heartbeat) { } }
    }

    /** Delivers the recorded heartbeats again, to every controller, as soon as another controller is the leader. */
    private fun replayOnLeaderChange() {
        val label = leaderLabel()
        if (label == lastLeader) return
        lastLeader = label
        for ((heartbeat, targets) in recordedHeartbeats.takeLast(MAX_REPLAYED)) targets.forEach {
            it.receive(heartbeat) { }
        }
        recordedHeartbeats.clear()
    }

    private companion object {
        const val LEADER_POLL_MS = 50L

        /** Probability that a request is repeated. */
        const val MOST = 0.8

        /** Probability that a fault affects one write. */
        const val FREQUENT = 0.4

        /** Probability that a fault affects one message. */
        const val OCCASIONAL = 0.1
        const val MAX_WORKERS = 4
        const val MAX_JOBS = 6
        const val MAX_REPLAYED = 40
        const val DIRECTION_COUNT = 3
        const val OUTBOUND_ONLY = 1
        const val INBOUND_ONLY = 2
        val DUPLICATE_DELAY_MS = 500L..(SoakOptions.LEASE_S * 2_000).toLong()
    }
}
