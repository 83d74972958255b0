package oxbowlug.cluster

import oxbowlug.fencing.CommandBatch
import oxbowlug.fencing.FencingTokenRange
import oxbowlug.wire.AttemptId
import oxbowlug.wire.FencingToken
import oxbowlug.wire.ReportSize
import oxbowlug.wire.TaskState
import oxbowlug.wire.WorkerCommand

/**
 * Which exited attempts a worker may forget. Another start would run a forgotten attempt again, so no stored record may
 * have it, and no direct start of it may be executed any more, not even one that was executed before and is repeated.
 * Since the worker compares tokens only, such an attempt is forgotten together with a higher fencing token: the worker
 * rejects earlier direct commands from the same answer on. A higher token makes the worker send one more heartbeat, so
 * it is issued once a worker lease, or when exited attempts fill too much of the heartbeats.
 */
internal class ForgetCommands(
    private val tokens: FencingTokenRange,
    private val mayBeStored: (AttemptId) -> Boolean,
) {
    /** The attempts that the worker may forget without a higher token. */
    fun underIssuedToken(machine: Machine): List<WorkerCommand.Forget> =
        exited(machine).filter { mayForgetUnder(machine, it, machine.issuedToken.value) }.map(WorkerCommand::Forget)

    /** The attempts that the worker may forget by an answer to its heartbeat, and the token of this answer. */
    fun inAnswer(
        machine: Machine,
        now: Long,
    ): CommandBatch {
        val exited = exited(machine)
        val retained = exited.filterNot { mayForgetUnder(machine, it, machine.issuedToken.value) }
        val advanced = if (isAdvanceDue(machine, retained, now)) tokens.next(machine.issuedToken.value) else null
        val forgotten = if (advanced == null) exited - retained.toSet() else exited
        return CommandBatch(advanced ?: machine.issuedToken.value, forgotten.map(WorkerCommand::Forget))
    }

    private fun exited(machine: Machine): List<AttemptId> =
        machine.tasks.values
            .filter { it.state == TaskState.EXITED && it.attempt !in machine.attempts }
            .map { it.attempt }
            .filterNot(mayBeStored)

    private fun mayForgetUnder(
        machine: Machine,
        attempt: AttemptId,
        token: FencingToken,
    ): Boolean = machine.directStarts.tokenOf(attempt)?.let { it < token } ?: true

    private fun isAdvanceDue(
        machine: Machine,
        retained: List<AttemptId>,
        now: Long,
    ): Boolean {
        if (retained.isEmpty()) return false
        if (retained.sumOf { ReportSize.taskBytes(it.task.job) } > MAX_RETAINED_BYTES) return true
        // The worker would reject a direct command in flight, and its starts would be delayed.
        return !machine.isDirectCommandInFlight && now >= machine.issuedToken.nextAdvanceAt
    }

    private companion object {
        const val MAX_RETAINED_BYTES = ReportSize.MAX_TASK_BYTES / 4
    }
}
