package oxbowlug.sim

import oxbowlug.soak.Fault
import oxbowlug.soak.FaultKind
import oxbowlug.soak.FaultSchedule
import oxbowlug.soak.LostAnswers
import oxbowlug.soak.drawRunningJobs
import oxbowlug.standin.SimWorker

/** Injects the faults of a randomly drawn [FaultSchedule] into a simulation. */
internal class SimulatedFaults(
    private val simulation: Simulation,
    private val leaseMs: Long,
) {
    private val time = simulation.time
    private val activeFaults = simulation.activeFaults

    fun inject(schedule: FaultSchedule) {
        for (fault in schedule.faults) time.after(fault.atMs - time.nowMs) { startFault(fault) }
    }

    private fun startFault(fault: Fault) {
        val node = simulation.nodes[fault.target % simulation.nodes.size]
        val leader = simulation.leader
        val zone = simulation.zones[fault.target % simulation.zones.size]
        when (fault.kind) {
            FaultKind.KILL_CONTROLLER -> kill(listOf(node), fault)
            FaultKind.KILL_LEADER -> kill(listOf(leader), fault)
            FaultKind.KILL_ALL_CONTROLLERS -> kill(simulation.nodes, fault)
            FaultKind.PAUSE_CONTROLLER -> node.pausedUntil = time.nowMs + fault.forMs
            FaultKind.PAUSE_LEADER -> leader.pausedUntil = time.nowMs + fault.forMs
            FaultKind.CUT_CONTROLLER_FROM_STATE -> during(fault) { node.withoutState = it }
            FaultKind.CUT_LEADER_FROM_STATE -> during(fault) { leader.withoutState = it }
            FaultKind.CUT_LEADER_FROM_STATE_AND_PEERS -> during(fault) { leader.setCutOffFromStateAndPeers(it) }
            FaultKind.CUT_CONTROLLER_FROM_STATE_AND_PEERS -> during(fault) { node.setCutOffFromStateAndPeers(it) }
            FaultKind.CUT_CONTROLLER_FROM_PEERS -> during(fault) { node.withoutPeers = it }
            FaultKind.CUT_LEADER_FROM_PEERS -> during(fault) { leader.withoutPeers = it }
            FaultKind.CUT_CONTROLLER_FROM_WORKERS -> during(fault) { node.withoutWorkers = it }
            FaultKind.CUT_LEADER_FROM_WORKERS -> during(fault) { leader.withoutWorkers = it }
            FaultKind.CUT_CONTROLLER_FROM_USERS -> during(fault) { node.withoutUsers = it }
            FaultKind.CUT_LEADER_FROM_CLOUD -> during(fault) { leader.withoutCloud = it }
            FaultKind.CUT_ZONE ->
                during(fault) {
                    if (it) activeFaults.isolatedZones.add(zone) else activeFaults.isolatedZones.remove(zone)
                }
            FaultKind.STATE_OUTAGE -> during(fault) { simulation.store.down = it }
            FaultKind.CLOUD_OUTAGE -> during(fault) { simulation.cloud.down = it }
            FaultKind.DROP_LEADER_WATCH_ANSWERS -> during(fault) { leader.dropsWatchAnswers = it }
            FaultKind.REFUSE_WRITES -> during(fault) { activeFaults.refusedWrites = if (it) FREQUENT else 0.0 }
            FaultKind.SLOW_WRITE_ANSWERS -> during(fault) { activeFaults.slowWriteAnswers = if (it) FREQUENT else 0.0 }
            FaultKind.LOSE_WRITE_ANSWERS -> during(fault) { activeFaults.unansweredWrites = if (it) FREQUENT else 0.0 }
            FaultKind.DELAY_WRITES -> during(fault) { activeFaults.delayedWrites = if (it) FREQUENT else 0.0 }
            FaultKind.DISCARD_CHANGE_HISTORY -> simulation.store.discardChangeHistory()
            FaultKind.LOSE_MESSAGES -> during(fault) { activeFaults.lossProbability = if (it) RARE else 0.0 }
            FaultKind.DELAY_MESSAGES -> during(fault) { activeFaults.delayProbability = if (it) RARE else 0.0 }
            FaultKind.DUPLICATE_HEARTBEATS ->
                during(fault) {
                    activeFaults.duplicateHeartbeats =
                        if (it) FREQUENT else 0.0
                }
            FaultKind.REPLAY_OLD_HEARTBEATS ->
                during(fault) { activeFaults.heartbeatsForNextLeader = if (it) RARE else 0.0 }
            FaultKind.STALL_PEER_LINKS -> during(fault) { activeFaults.peerLinkStalls = if (it) RARE / 10 else 0.0 }
            FaultKind.UNRESPONSIVE_WORKERS ->
                randomWorkers(fault).forEach {
                    it.unresponsiveUntil =
                        time.nowMs + fault.forMs
                }
            FaultKind.LOSE_HEARTBEATS ->
                randomWorkers(fault).forEach {
                    it.heartbeatsLostUntil =
                        time.nowMs + fault.forMs
                }
            FaultKind.HANG_WORKERS -> randomWorkers(fault).forEach { it.hungUntil = time.nowMs + fault.forMs }
            FaultKind.LOSE_ANSWERS_THEN_HEARTBEATS ->
                randomWorkers(fault).forEach { LostAnswers(time, leaseMs).begin(it) }
            FaultKind.REPEAT_REQUESTS -> during(fault) { simulation.repeats.probability = if (it) MOST else 0.0 }
            FaultKind.CANCEL_RUNNING -> cancelRunning(fault)
            FaultKind.CANCEL_RUNNING_AND_HANG ->
                cancelRunning(fault).forEach { it.hungUntil = time.nowMs + fault.forMs }
        }
    }

    private fun SimNode.setCutOffFromStateAndPeers(isCutOff: Boolean) {
        withoutState = isCutOff
        withoutPeers = isCutOff
    }

    /** Calls [set] with true now, and with false when the fault is over. */
    private fun during(
        fault: Fault,
        set: (Boolean) -> Unit,
    ) {
        set(true)
        time.after(fault.forMs) { set(false) }
    }

    /** Crashes the controllers that are up, and restarts them after the fault's duration. */
    private fun kill(
        nodes: List<SimNode>,
        fault: Fault,
    ) {
        val running = nodes.filter { it.isUp }
        running.forEach { it.crash() }
        time.after(fault.forMs) { running.filterNot { it.isUp }.forEach { it.start() } }
    }

    private fun randomWorkers(fault: Fault): List<SimWorker> =
        simulation.cloud.workers
            .shuffled(time.random)
            .take(1 + fault.target % MAX_WORKERS)

    /** Cancels running jobs within 500 ms and returns the machines on which their tasks run. */
    private fun cancelRunning(fault: Fault): Set<SimWorker> {
        val machinesByJob = drawRunningJobs(simulation.cloud.workers, 1 + fault.target % MAX_JOBS, time.random)
        for (id in machinesByJob.keys) time.after(time.between(0, 500)) { simulation.cancel(id) }
        return machinesByJob.values.flatten().toSet()
    }

    private companion object {
        /** Probabilities with which a fault hits a message or a transaction. */
        const val FREQUENT = 0.4
        const val MOST = 0.8
        const val RARE = 0.1
        const val MAX_WORKERS = 4
        const val MAX_JOBS = 6
    }
}
