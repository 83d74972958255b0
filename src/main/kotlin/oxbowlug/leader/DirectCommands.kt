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
 * Sends commands to workers directly instead of waiting for their next heartbeat. At most one call per machine is in
 * flight. Commands that aren't sent here go out in the response to the worker's next heartbeat.
 */
internal class DirectCommands(
    private val cluster: ClusterState,
    private val workers: WorkerPort,
    private val clock: Clock,
    private val timing: Timing,
    private val decisions: DecisionContext,
    private val checks: CommandChecks,
) {
    /** Sends the commands of all machines in [ClusterState.commandQueue]. */
    fun flush(now: Long) {
        if (cluster.commandQueue.isEmpty()) return
        for (id in cluster.commandQueue.toList()) {
            val machine = cluster.machines[id]
            if (machine == null || trySend(machine, now)) cluster.commandQueue.remove(id)
        }
    }

    /** Returns false if a call to [machine] is in flight, so that its commands have to be sent with a later flush. */
    private fun trySend(
        machine: Machine,
        now: Long,
    ): Boolean {
        val endpoint = machine.endpoint ?: return true
        val lastContactAt = machine.lastContactAt ?: return true
        if (!machine.hasAcknowledgedToken(cluster.tokens) ||
            now - lastContactAt > timing.heartbeatLateMs ||
            now < machine.nextDirectCommandAt
        ) {
            return true
        }
        if (machine.isDirectCommandInFlight) return false
        val commands =
            if (decisions.mayLead) {
                checks.dropUnstoredStarts(machine, cluster.directCommands(machine, now))
            } else {
                cluster.stopsForCancelledJobs(machine)
            }
        // Commands to forget exited attempts can wait for the next heartbeat.
        if (commands.all { it is WorkerCommand.Forget }) return true
        machine.isDirectCommandInFlight = true
        val starts = commands.filterIsInstance<WorkerCommand.Start>().map { it.attempt }
        val incarnation = machine.position.incarnation
        machine.directStarts.onSent(starts, machine.issuedToken.value, incarnation)
        for (attempt in starts) machine.attempts[attempt]?.markStartSent(now)
        CommandLog.directCommandsSent(machine, commands)
        workers.command(endpoint, machine.issuedToken.value, incarnation, commands) { outcome ->
            CommandLog.directCommandsEnded(machine, starts, outcome)
            onOutcome(machine, outcome)
        }
        return true
    }

    private fun onOutcome(
        machine: Machine,
        outcome: CommandOutcome,
    ) {
        machine.isDirectCommandInFlight = false
        when (outcome) {
            is CommandOutcome.Answered -> {
                // An answer proves that the command has arrived, not that no copy of it will.
                if (outcome.executed) machine.directStarts.onExecuted() else machine.directStarts.onNotExecuted()
                cluster.applyHeartbeat(outcome.heartbeat, isHeartbeat = false)
            }
            CommandOutcome.NotSent -> {
                machine.directStarts.onNotExecuted()
                machine.nextDirectCommandAt = clock.steadyMs() + timing.heartbeatLateMs
            }
            CommandOutcome.Unanswered -> {
                // The call may still be executed minutes later. During the pause, only the responses to heartbeats
                // carry commands.
                machine.directStarts.onUnanswered()
                machine.nextDirectCommandAt = clock.steadyMs() + timing.workerLeaseTtlMs
            }
        }
    }
}
