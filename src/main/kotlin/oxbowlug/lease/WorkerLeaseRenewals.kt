package oxbowlug.lease

import org.slf4j.LoggerFactory
import oxbowlug.cache.StateCache
import oxbowlug.cache.stopsForCancelledTasks
import oxbowlug.invariant.DecisionContext
import oxbowlug.wire.FencingToken
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat

/**
 * Builds every response to a heartbeat that renews the worker's lease, whether this controller is the leader, a leader
 * that hasn't read the jobs yet, a leader in the renewal-only role, or a lease renewal delegate. All of them share this
 * code so that each renewal also stops cancelled work: when one of them had a code path of its own, that path renewed a
 * worker's lease forever without stopping its cancelled tasks.
 */
internal class WorkerLeaseRenewals(
    private val cache: StateCache,
    private val decisions: DecisionContext,
) {
    /**
     * Returns the response that renews the lease under [token] and carries [commands] plus a stop command for each
     * running attempt of a cancelled job that [commands] doesn't stop.
     *
     * Only the leader passes [commands]. The leader's commands lack such a stop if this heartbeat is older than the
     * answer to a direct command that the leader has already processed; the added stop then has no effect.
     */
    fun renew(
        heartbeat: WorkerHeartbeat,
        token: FencingToken,
        commands: List<WorkerCommand> = emptyList(),
    ): HeartbeatResponse.Renewed {
        val allCommands = commands + cache.stopsForCancelledTasks(heartbeat).missingFrom(commands)
        if (log.isDebugEnabled) {
            log.debug(
                "lease renewed: machine={} incarnation={} sequence={} token={} commands={} {}",
                heartbeat.machine,
                heartbeat.incarnation,
                heartbeat.sequence,
                heartbeat.token.value,
                allCommands.size,
                decisions.describe(),
            )
        }
        return HeartbeatResponse.Renewed(token, allCommands)
    }

    private companion object {
        val log = LoggerFactory.getLogger("lease")
    }
}

/** The stop commands for attempts that no command in [commands] stops. */
internal fun List<WorkerCommand.Stop>.missingFrom(commands: List<WorkerCommand>): List<WorkerCommand.Stop> {
    val stopped = commands.mapNotNull { (it as? WorkerCommand.Stop)?.attempt }
    return filter { it.attempt !in stopped }
}
