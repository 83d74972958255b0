package oxbowlug.leader

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Machine
import oxbowlug.port.WorkerPort
import oxbowlug.timing.Timing
import oxbowlug.wire.MachineState

/**
 * Makes workers of a former leader known to its successor's fencing token. A worker stays with a leader for as long as
 * that one answers its heartbeats, and a leader that is partitioned from the state service and the other controllers
 * doesn't learn of its successor. So the successor sends its token, with an empty list of commands, to machines that
 * should send heartbeats here but don't. The worker's next heartbeat carries the token to the former leader, which then
 * steps down. This renews no lease and proves nothing about attempts: only heartbeats that arrive here do.
 */
internal class FencingTokenPropagation(
    private val cluster: ClusterState,
    private val workers: WorkerPort,
    private val timing: Timing,
    private val termStartedAt: Long,
    private val maxInFlight: Int,
    /** Whether the former leader may still answer workers without knowing of this leader from other controllers. */
    private val formerLeaderMayAnswer: () -> Boolean,
) {
    private var inFlight = 0
    private var nextBatchAt = 0L

    /** Sends the token to the next batch of machines that are due for it. */
    fun tick(now: Long) {
        if (now - termStartedAt < timing.propagateTokenAfterMs || now < nextBatchAt || !formerLeaderMayAnswer()) return
        nextBatchAt = now + timing.peerHeartbeatMs
        // Calls to the whole fleet at once would delay the responses to workers that do send heartbeats here, so they
        // are spread over [Timing.propagateTokenAfterMs].
        var remaining = (cluster.machines.size * timing.peerHeartbeatMs / timing.propagateTokenAfterMs + 1).toInt()
        for (machine in cluster.machines.values) {
            if (remaining == 0 || inFlight >= maxInFlight) return
            if (!isOutOfContact(machine, now) || now < machine.nextTokenAt) continue
            remaining--
            sendToken(machine, now)
        }
    }

    /** Whether [machine] should send heartbeats to this leader, but hasn't sent any in this term. */
    private fun isOutOfContact(
        machine: Machine,
        now: Long,
    ) = machine.lastContactAt == null &&
        !machine.isReleasing &&
        now - machine.firstSeenAt > timing.heartbeatLateMs &&
        (machine.listed == MachineState.RUNNING || machine.attempts.isNotEmpty())

    /** Asks for the worker's incarnation first, because the worker refuses commands for another one. */
    private fun sendToken(
        machine: Machine,
        now: Long,
    ) {
        val endpoint = machine.endpoint ?: return
        inFlight++
        machine.nextTokenAt = now + timing.suspectAfterMs
        workers.status(endpoint) { heartbeat ->
            if (heartbeat == null || heartbeat.machine != machine.id || heartbeat.token >= cluster.tokens.first) {
                inFlight--
            } else {
                workers.command(endpoint, machine.issuedToken.value, heartbeat.incarnation, emptyList()) { inFlight-- }
            }
        }
    }
}
