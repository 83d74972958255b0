package oxbowlug.leader

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Machine
import oxbowlug.port.WorkerPort
import oxbowlug.timing.Timing
import oxbowlug.wire.MachineState

/**
 * A worker stays with an earlier leader for as long as that one answers it: one cut from the state service and the
 * other controllers knows of no successor. So the successor shows its token, by a command that orders nothing, to
 * machines that it expects and doesn't hear. The worker's next report then shows the token to the earlier leader,
 * which steps down. This renews no lease and proves nothing: the worker has to report here for that.
 */
internal class FencingTokenPropagation(
    private val cluster: ClusterState,
    private val workers: WorkerPort,
    private val timing: Timing,
    private val startedAt: Long,
    private val mostAtOnce: Int,
    /** The former leader may be alive, and doesn't hear of this one from the other controllers. */
    private val mayBeAnswered: () -> Boolean,
) {
    private val nextAt = HashMap<Machine, Long>()
    private var inFlight = 0
    private var nextRoundAt = 0L

    fun tick(now: Long) {
        if (now - startedAt < timing.propagateTokenAfterMs || now < nextRoundAt || !mayBeAnswered()) return
        nextRoundAt = now + timing.peerHeartbeatMs
        // All of them at once would take the time that those who report need.
        var left = (cluster.machines.size * timing.peerHeartbeatMs / timing.propagateTokenAfterMs + 1).toInt()
        for (host in cluster.machines.values) {
            if (left == 0 || inFlight >= mostAtOnce) return
            if (!isMissing(host, now) || now < (nextAt[host] ?: 0)) continue
            left--
            show(host, now)
        }
    }

    private fun isMissing(
        host: Machine,
        now: Long,
    ) = host.lastContactAt == null &&
        !host.isReleasing &&
        now - host.firstSeenAt > timing.heartbeatLateMs &&
        (host.listed == MachineState.RUNNING || host.live.isNotEmpty())

    private fun show(
        host: Machine,
        now: Long,
    ) {
        val endpoint = host.endpoint ?: return
        inFlight++
        nextAt[host] = now + timing.suspectMs
        workers.status(endpoint) { report ->
            if (report == null || report.machine != host.id || report.token >= cluster.token) {
                inFlight--
            } else {
                workers.command(endpoint, cluster.token, report.incarnation, emptyList()) { inFlight-- }
            }
        }
    }
}
