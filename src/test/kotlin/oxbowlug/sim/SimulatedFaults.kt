package oxbowlug.sim

import oxbowlug.soak.Fault
import oxbowlug.soak.FaultKind
import oxbowlug.soak.FaultSchedule
import oxbowlug.soak.LostAnswers
import oxbowlug.soak.drawRunningJobs
import oxbowlug.standin.SimWorker

/** Plays a drawn schedule of faults on virtual time. */
internal class SimulatedFaults(
    private val day: Simulation,
    private val leaseMs: Long,
) {
    private val time = day.time
    private val weather = day.weather

    fun play(schedule: FaultSchedule) {
        for (fault in schedule.faults) time.after(fault.atMs - time.nowMs) { begin(fault) }
    }

    private fun begin(fault: Fault) {
        val node = day.nodes[fault.target % day.nodes.size]
        val leader = day.leader
        val zone = day.zones[fault.target % day.zones.size]
        when (fault.kind) {
            FaultKind.KILL_CONTROLLER -> kill(listOf(node), fault)
            FaultKind.KILL_LEADER -> kill(listOf(leader), fault)
            FaultKind.KILL_ALL_CONTROLLERS -> kill(day.nodes, fault)
            FaultKind.PAUSE_CONTROLLER -> node.pausedUntil = time.nowMs + fault.forMs
            FaultKind.PAUSE_LEADER -> leader.pausedUntil = time.nowMs + fault.forMs
            FaultKind.CUT_CONTROLLER_FROM_STATE -> hold(fault) { node.withoutState = it }
            FaultKind.CUT_LEADER_FROM_STATE -> hold(fault) { leader.withoutState = it }
            FaultKind.CUT_LEADER_FROM_STATE_AND_PEERS -> hold(fault) { leader.isolate(it) }
            FaultKind.CUT_CONTROLLER_FROM_STATE_AND_PEERS -> hold(fault) { node.isolate(it) }
            FaultKind.CUT_CONTROLLER_FROM_PEERS -> hold(fault) { node.withoutPeers = it }
            FaultKind.CUT_LEADER_FROM_PEERS -> hold(fault) { leader.withoutPeers = it }
            FaultKind.CUT_CONTROLLER_FROM_WORKERS -> hold(fault) { node.withoutWorkers = it }
            FaultKind.CUT_LEADER_FROM_WORKERS -> hold(fault) { leader.withoutWorkers = it }
            FaultKind.CUT_CONTROLLER_FROM_USERS -> hold(fault) { node.withoutUsers = it }
            FaultKind.CUT_LEADER_FROM_CLOUD -> hold(fault) { leader.withoutCloud = it }
            FaultKind.CUT_ZONE -> hold(fault) { if (it) weather.cutZones.add(zone) else weather.cutZones.remove(zone) }
            FaultKind.STATE_OUTAGE -> hold(fault) { day.store.down = it }
            FaultKind.CLOUD_OUTAGE -> hold(fault) { day.cloud.down = it }
            FaultKind.DROP_LEADER_WATCH_ANSWERS -> hold(fault) { leader.holdsWatch = it }
            FaultKind.REFUSE_WRITES -> hold(fault) { weather.refusedWrites = if (it) OFTEN else 0.0 }
            FaultKind.SLOW_WRITE_ANSWERS -> hold(fault) { weather.slowAnswers = if (it) OFTEN else 0.0 }
            FaultKind.LOSE_WRITE_ANSWERS -> hold(fault) { weather.unansweredWrites = if (it) OFTEN else 0.0 }
            FaultKind.DELAY_WRITES -> hold(fault) { weather.lateWrites = if (it) OFTEN else 0.0 }
            FaultKind.DISCARD_CHANGE_HISTORY -> day.store.discardChangeHistory()
            FaultKind.LOSE_MESSAGES -> hold(fault) { weather.lost = if (it) SELDOM else 0.0 }
            FaultKind.DELAY_MESSAGES -> hold(fault) { weather.late = if (it) SELDOM else 0.0 }
            FaultKind.DUPLICATE_HEARTBEATS -> hold(fault) { weather.lateReports = if (it) OFTEN else 0.0 }
            FaultKind.REPLAY_OLD_HEARTBEATS -> hold(fault) { weather.reportsForNext = if (it) SELDOM else 0.0 }
            FaultKind.STALL_PEER_LINKS -> hold(fault) { weather.heldFrames = if (it) SELDOM / 10 else 0.0 }
            FaultKind.UNRESPONSIVE_WORKERS -> some(fault).forEach { it.unresponsiveUntil = time.nowMs + fault.forMs }
            FaultKind.LOSE_HEARTBEATS -> some(fault).forEach { it.heartbeatsLostUntil = time.nowMs + fault.forMs }
            FaultKind.HANG_WORKERS -> some(fault).forEach { it.hungUntil = time.nowMs + fault.forMs }
            FaultKind.LOSE_ANSWERS_THEN_HEARTBEATS -> some(fault).forEach { LostAnswers(time, leaseMs).begin(it) }
            FaultKind.CANCEL_RUNNING -> cancelRunning(fault)
            FaultKind.CANCEL_RUNNING_AND_HANG ->
                cancelRunning(fault).forEach {
                    it.hungUntil = time.nowMs + fault.forMs
                }
        }
    }

    private fun SimNode.isolate(isCut: Boolean) {
        withoutState = isCut
        withoutPeers = isCut
    }

    private fun hold(
        fault: Fault,
        set: (Boolean) -> Unit,
    ) {
        set(true)
        time.after(fault.forMs) { set(false) }
    }

    private fun kill(
        nodes: List<SimNode>,
        fault: Fault,
    ) {
        val running = nodes.filter { it.isUp }
        running.forEach { it.crash() }
        time.after(fault.forMs) { running.filterNot { it.isUp }.forEach { it.start() } }
    }

    private fun some(fault: Fault): List<SimWorker> =
        day.cloud.workers
            .shuffled(time.random)
            .take(1 + fault.target % MOST_WORKERS)

    /** Returns the machines that hold what is called off. */
    private fun cancelRunning(fault: Fault): Set<SimWorker> {
        val calledOff = drawRunningJobs(day.cloud.workers, 1 + fault.target % MOST_JOBS, time.random)
        for (id in calledOff.keys) time.after(time.between(0, 500)) { day.cancel(id) }
        return calledOff.values.flatten().toSet()
    }

    private companion object {
        const val OFTEN = 0.4
        const val SELDOM = 0.1
        const val MOST_WORKERS = 4
        const val MOST_JOBS = 6
    }
}
