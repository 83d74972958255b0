package oxbowlug.lease

import org.slf4j.LoggerFactory
import oxbowlug.cache.StateCache
import oxbowlug.cache.stopsForCancelledTasks
import oxbowlug.invariant.DecisionContext
import oxbowlug.wire.FencingToken
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat

/**
 * The one place where a heartbeat is answered so that it renews the worker's lease: by a leader, by one that only
 * renews, by one that hasn't read the jobs yet, and by a renewal delegate. A path of its own for one of them renewed
 * cancelled work without stopping it, for ever.
 */
internal class WorkerLeaseRenewals(
    private val cache: StateCache,
    private val decisions: DecisionContext,
) {
    /**
     * Adds the stops of cancelled work to [commands], which are a leader's own; whoever decides nothing has none. They
     * are missing where the heartbeat is older than a direct command's answer, and then they change nothing.
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

/** The stops whose attempts none of [commands] stops. */
internal fun List<WorkerCommand.Stop>.missingFrom(commands: List<WorkerCommand>): List<WorkerCommand.Stop> {
    val stopped = commands.mapNotNull { (it as? WorkerCommand.Stop)?.attempt }
    return filter { it.attempt !in stopped }
}
