package oxbowlug.leader

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Machine
import oxbowlug.port.WorkerPort
import oxbowlug.timing.Timing
import oxbowlug.wire.MachineState

/**
 * A worker stays with an earlier leader for as long as that one answers it: one cut from the state service and the
 * other controllers knows of no successor. So the successor shows its token, by a command that orders nothing, to
 * machines that it expects and doesn't hear. The worker's next heartbeat then shows the token to the earlier leader,
 * which steps down. This renews no lease and proves nothing: the worker has to send its heartbeat here for that.
 */
internal class FencingTokenPropagation(
    private val cluster: ClusterState,
    private val workers: WorkerPort,
    private val timing: Timing,
    private val termStartedAt: Long,
    private val maxInFlight: Int,
    /** The former leader may still answer workers, and doesn't hear of this one from the other controllers. */
    private val formerLeaderMayAnswer: () -> Boolean,
) {
    private val nextAt = HashMap<Machine, Long>()
    private var inFlight = 0
    private var nextRoundAt = 0L

    /** Shows the token to some of the machines that are due for it. */
    fun tick(now: Long) {
        if (now - termStartedAt < timing.propagateTokenAfterMs || now < nextRoundAt || !formerLeaderMayAnswer()) return
        nextRoundAt = now + timing.peerHeartbeatMs
        // All of them at once would take the time that those who report need.
        var left = (cluster.machines.size * timing.peerHeartbeatMs / timing.propagateTokenAfterMs + 1).toInt()
        for (machine in cluster.machines.values) {
            if (left == 0 || inFlight >= maxInFlight) return
            if (!isMissing(machine, now) || now < (nextAt[machine] ?: 0)) continue
            left--
            showToken(machine, now)
        }
    }

    private fun isMissing(
        machine: Machine,
        now: Long,
    ) = machine.lastContactAt == null &&
        !machine.isReleasing &&
        now - machine.firstSeenAt > timing.heartbeatLateMs &&
        (machine.listed == MachineState.RUNNING || machine.attempts.isNotEmpty())

    private fun showToken(
        machine: Machine,
        now: Long,
    ) {
        val endpoint = machine.endpoint ?: return
        inFlight++
        nextAt[machine] = now + timing.suspectAfterMs
        workers.status(endpoint) { heartbeat ->
            if (heartbeat == null || heartbeat.machine != machine.id || heartbeat.token >= cluster.token) {
                inFlight--
            } else {
                workers.command(endpoint, cluster.token, heartbeat.incarnation, emptyList()) { inFlight-- }
            }
        }
    }
}
