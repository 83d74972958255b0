package oxbowlug.sim

import oxbowlug.soak.Fault
import oxbowlug.soak.FaultKind
import oxbowlug.soak.FaultSchedule
import oxbowlug.soak.LostAnswers
import oxbowlug.soak.drawRunning
import oxbowlug.standin.SimWorker

/** Injects the faults of a randomly drawn [FaultSchedule] into a simulation. */
internal class SimulatedFaults(
    private val simulation: Simulation,
    private val leaseMs: Long,
) {
    private val world = simulation.world
    private val activeFaults = simulation.activeFaults

    fun inject(schedule: FaultSchedule) {
        for (fault in schedule.faults) world.after(fault.atMs - world.nowMs) { startFault(fault) }
    }

    private fun startFault(fault: Fault) {
        val node = simulation.nodes[fault.target % simulation.nodes.size]
        val leader = simulation.leader
        val zone = simulation.zones[fault.target % simulation.zones.size]
        when (fault.kind) {
            FaultKind.KILL_CONTROLLER -> kill(listOf(node), fault)
            FaultKind.KILL_LEADER -> kill(listOf(leader), fault)
            FaultKind.KILL_ALL_CONTROLLERS -> kill(simulation.nodes, fault)
            FaultKind.PAUSE_CONTROLLER -> node.pausedUntil = world.nowMs + fault.forMs
            FaultKind.PAUSE_LEADER -> leader.pausedUntil = world.nowMs + fault.forMs
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
            FaultKind.HOLD_LEADER_WATCH -> during(fault) { leader.dropsWatchAnswers = it }
            FaultKind.REFUSE_WRITES -> during(fault) { activeFaults.refusedWrites = if (it) FREQUENT else 0.0 }
            FaultKind.SLOW_WRITE_ANSWERS -> during(fault) { activeFaults.slowWriteAnswers = if (it) FREQUENT else 0.0 }
            FaultKind.LOSE_WRITE_ANSWERS -> during(fault) { activeFaults.unansweredWrites = if (it) FREQUENT else 0.0 }
            FaultKind.DELAY_WRITES -> during(fault) { activeFaults.delayedWrites = if (it) FREQUENT else 0.0 }
            FaultKind.FORGET_CHANGES -> simulation.store.forgetChanges()
            FaultKind.LOSE_MESSAGES -> during(fault) { activeFaults.lossProbability = if (it) RARE else 0.0 }
            FaultKind.DELAY_MESSAGES -> during(fault) { activeFaults.delayProbability = if (it) RARE else 0.0 }
            FaultKind.REPEAT_REPORTS -> during(fault) { activeFaults.duplicateHeartbeats = if (it) FREQUENT else 0.0 }
            FaultKind.REPEAT_REPORTS_TO_NEXT_LEADER ->
                during(fault) { activeFaults.heartbeatsForNextLeader = if (it) RARE else 0.0 }
            FaultKind.HOLD_PEER_FRAMES -> during(fault) { activeFaults.peerLinkStalls = if (it) RARE / 10 else 0.0 }
            FaultKind.DEAF_WORKERS -> randomWorkers(fault).forEach { it.unresponsiveUntil = world.nowMs + fault.forMs }
            FaultKind.MUTE_WORKERS -> randomWorkers(fault).forEach { it.muteUntil = world.nowMs + fault.forMs }
            FaultKind.HANG_WORKERS -> randomWorkers(fault).forEach { it.hungUntil = world.nowMs + fault.forMs }
            FaultKind.UNANSWERED_THEN_MUTE_WORKERS ->
                randomWorkers(fault).forEach { LostAnswers(world, leaseMs).begin(it) }
            FaultKind.CANCEL_RUNNING -> cancelRunning(fault)
            FaultKind.CANCEL_RUNNING_AND_HANG ->
                cancelRunning(fault).forEach { it.hungUntil = world.nowMs + fault.forMs }
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
        world.after(fault.forMs) { set(false) }
    }

    /** Crashes the controllers that are up, and restarts them after the fault's duration. */
    private fun kill(
        nodes: List<SimNode>,
        fault: Fault,
    ) {
        val running = nodes.filter { it.isUp }
        running.forEach { it.crash() }
        world.after(fault.forMs) { running.filterNot { it.isUp }.forEach { it.start() } }
    }

    private fun randomWorkers(fault: Fault): List<SimWorker> =
        simulation.cloud.workers
            .shuffled(world.random)
            .take(1 + fault.target % MAX_WORKERS)

    /** Cancels running jobs within 500 ms and returns the machines on which their tasks run. */
    private fun cancelRunning(fault: Fault): Set<SimWorker> {
        val machinesByJob = drawRunning(simulation.cloud.workers, 1 + fault.target % MAX_JOBS, world.random)
        for (id in machinesByJob.keys) world.after(world.between(0, 500)) { simulation.cancel(id) }
        return machinesByJob.values.flatten().toSet()
    }

    private companion object {
        /** Probabilities with which a fault hits a message or a transaction. */
        const val FREQUENT = 0.4
        const val RARE = 0.1
        const val MAX_WORKERS = 4
        const val MAX_JOBS = 6
    }
}
