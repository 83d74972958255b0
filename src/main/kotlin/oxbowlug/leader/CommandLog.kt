package oxbowlug.leader

import org.slf4j.LoggerFactory
import oxbowlug.cluster.Machine
import oxbowlug.port.CommandOutcome
import oxbowlug.wire.AttemptId
import oxbowlug.wire.FencingToken
import oxbowlug.wire.WorkerCommand

/**
 * Logs, at `debug`, the commands that decide which attempts a worker knows: under which token and incarnation starts
 * were sent, what became of them, and which exited attempts the worker may forget.
 */
internal object CommandLog {
    private val log = LoggerFactory.getLogger("leader")

    /** Direct commands are on their way to the worker of [machine]. */
    fun directCommandsSent(
        machine: Machine,
        commands: List<WorkerCommand>,
    ) {
        if (!log.isDebugEnabled) return
        log.debug(
            "direct commands sent: machine={} incarnation={} token={} starts={} stops={}",
            machine.id,
            machine.position.incarnation,
            machine.issuedToken.value,
            commands.filterIsInstance<WorkerCommand.Start>().map { it.attempt },
            commands.filterIsInstance<WorkerCommand.Stop>().map { it.attempt },
        )
        attemptsForgotten(machine, machine.issuedToken.value, commands, "direct")
    }

    /** The direct commands to [machine] had [outcome]. */
    fun directCommandsEnded(
        machine: Machine,
        starts: List<AttemptId>,
        outcome: CommandOutcome,
    ) {
        if (!log.isDebugEnabled) return
        val result =
            when (outcome) {
                is CommandOutcome.Answered -> if (outcome.executed) "executed" else "rejected"
                CommandOutcome.NotSent -> "not_sent"
                CommandOutcome.Unanswered -> "unanswered"
            }
        log.debug("direct commands {}: machine={} starts={}", result, machine.id, starts)
    }

    /** The worker of [machine] is told to forget exited attempts, in commands that it gets with [token]. */
    fun attemptsForgotten(
        machine: Machine,
        token: FencingToken,
        commands: List<WorkerCommand>,
        sentIn: String,
    ) {
        if (!log.isDebugEnabled) return
        for (command in commands) {
            if (command !is WorkerCommand.Forget) continue
            log.debug(
                "attempt forgotten: machine={} incarnation={} token={} attempt={} reason={} directStartToken={} " +
                    "sentIn={}",
                machine.id,
                machine.position.incarnation,
                token,
                command.attempt,
                machine.tasks[command.attempt]?.cause,
                machine.directStarts.tokenOf(command.attempt),
                sentIn,
            )
        }
    }
}
