package oxbowlug.leader

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Machine
import oxbowlug.invariant.DecisionContext
import oxbowlug.port.Clock
import oxbowlug.port.CommandOutcome
import oxbowlug.port.WorkerPort
import oxbowlug.timing.Timing
import oxbowlug.wire.WorkerCommand

/**
 * Sends commands to workers at once where waiting for their next heartbeat would cost time. At most one call a machine
 * is in flight. What isn't sent here goes out in the answer to a heartbeat.
 */
internal class DirectCommands(
    private val cluster: ClusterState,
    private val workers: WorkerPort,
    private val clock: Clock,
    private val timing: Timing,
    private val decisions: DecisionContext,
    private val checks: CommandChecks,
) {
    /** Sends what [ClusterState.commandQueue] asks for. */
    fun flush(now: Long) {
        if (cluster.commandQueue.isEmpty()) return
        for (id in cluster.commandQueue.toList()) {
            val machine = cluster.machines[id]
            if (machine == null || commandDirectly(machine, now)) cluster.commandQueue.remove(id)
        }
    }

    /** True once nothing is left to be said directly. */
    private fun commandDirectly(
        machine: Machine,
        now: Long,
    ): Boolean {
        val endpoint = machine.endpoint ?: return true
        val lastContactAt = machine.lastContactAt ?: return true
        if (!machine.hasAcknowledgedToken(cluster.token) ||
            now - lastContactAt > timing.heartbeatLateMs ||
            now < machine.nextDirectCommandAt
        ) {
            return true
        }
        if (machine.isDirectCommandInFlight) return false
        val commands =
            if (decisions.mayLead) {
                checks.dropUnstoredStarts(machine, cluster.commands(machine, now))
            } else {
                cluster.stopsForCancelledJobs(machine)
            }
        if (commands.all { it is WorkerCommand.Forget }) return true
        machine.isDirectCommandInFlight = true
        machine.directStartsInFlight = commands.filterIsInstance<WorkerCommand.Start>().map { it.attempt }
        for (attempt in machine.directStartsInFlight) machine.attempts[attempt]?.markStartSent(now)
        workers.command(endpoint, cluster.token, machine.position.incarnation, commands) { outcome ->
            onOutcome(machine, outcome)
        }
        return true
    }

    private fun onOutcome(
        machine: Machine,
        outcome: CommandOutcome,
    ) {
        val starts = machine.directStartsInFlight
        machine.isDirectCommandInFlight = false
        machine.directStartsInFlight = emptyList()
        when (outcome) {
            is CommandOutcome.Answered -> cluster.applyHeartbeat(outcome.heartbeat, isHeartbeat = false)
            CommandOutcome.NotSent -> machine.nextDirectCommandAt = clock.steadyMs() + timing.heartbeatLateMs
            CommandOutcome.Unanswered -> {
                // It may be executed minutes later; from here on the answers to heartbeats carry the commands.
                machine.unresolvedStarts.addAll(starts)
                machine.nextDirectCommandAt = clock.steadyMs() + timing.workerLeaseTtlMs
            }
        }
    }
}
