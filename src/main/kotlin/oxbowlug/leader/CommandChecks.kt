package oxbowlug.leader

import oxbowlug.cache.StateCache
import oxbowlug.cache.stopsForCancelledTasks
import oxbowlug.cluster.Machine
import oxbowlug.invariant.Invariants
import oxbowlug.lease.missingFrom
import oxbowlug.port.Invariant
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat

/** Checks commands against invariants just before they are sent. Each violation is a bug in the controller. */
internal class CommandChecks(
    private val cache: StateCache,
    private val invariants: Invariants,
) {
    /**
     * Reports a violation unless [commands] stop every attempt in [heartbeat] that is cancelled according to the state
     * cache. If one is missing, the cluster state lacks a cancellation that the cache has.
     */
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

    /** Drops, and reports as violations, the starts whose attempts aren't in a stored record. All starts pass here. */
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
