package oxbowlug.leader

import oxbowlug.cache.StateCache
import oxbowlug.cache.stopsForCancelledTasks
import oxbowlug.cluster.Machine
import oxbowlug.invariant.Invariants
import oxbowlug.lease.missingFrom
import oxbowlug.port.Invariant
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat

/** The last check of commands before they are sent: each violation is a fault of this program. */
internal class CommandChecks(
    private val cache: StateCache,
    private val invariants: Invariants,
) {
    /** The cluster state and the state cache have to agree on what is cancelled, or one of them lacks it. */
    fun requireStopsOfCancelledWork(
        heartbeat: WorkerHeartbeat,
        commands: List<WorkerCommand>,
    ) {
        val missing = cache.stopsForCancelledTasks(heartbeat).missingFrom(commands)
        if (missing.isEmpty()) return
        invariants.recordViolation(
            Invariant.CANCELLED_WORK_IS_STOPPED,
            "${missing.map { it.attempt }} on ${heartbeat.machine}",
        )
    }

    /** All starts pass here on their way out: those that no stored record names are dropped. */
    fun dropUnstoredStarts(
        machine: Machine,
        commands: List<WorkerCommand>,
    ): List<WorkerCommand> {
        val unstored = commands.filter { it is WorkerCommand.Start && machine.attempts[it.attempt]?.isCommitted != true }
        if (unstored.isEmpty()) return commands
        invariants.recordViolation(Invariant.STARTS_ARE_STORED, "$unstored for ${machine.id}")
        return commands - unstored.toSet()
    }
}
