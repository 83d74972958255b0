package oxbowlug.wire

/** What a worker says of a task; [wire] is the protocol's word. */
enum class TaskState(
    val wire: String,
) {
    FETCHING("pulling"),
    WAITING("waiting"),
    RUNNING("running"),
    SAVING("flushing"),
    EXITED("exited"),
}

/** Why a task has exited; [wire] is the protocol's word. */
enum class ExitCause(
    val wire: String,
) {
    DONE("done"),
    STOPPED("stopped"),
    ERROR("error"),
    FULL("full"),
    BUSY("busy"),
    UNKNOWN("unknown"),
    PEERS_GONE("mates_gone"),
    ALONE("incomplete"),

    /** A cause that a later protocol may add: an exit all the same. */
    OTHER(""),
}

/** One task of a heartbeat; [cause] is there once it has exited, [saved] whether its work was saved. */
data class TaskStatus(
    val attempt: AttemptId,
    val state: TaskState,
    val cause: ExitCause?,
    val saved: Boolean,
)

/** One worker's account of itself. The larger (incarnation, sequence) is the newer one. */
data class WorkerHeartbeat(
    val machine: MachineId,
    val endpoint: String,
    val type: TypeName,
    val zone: Zone,
    val spot: Boolean,
    val incarnation: Long,
    val sequence: Long,
    val token: FencingToken,
    val interruptionNoticeS: Double?,
    val tasks: List<TaskStatus>,
) {
    /** Whether this is newer than the message of that incarnation and sequence. */
    fun isNewerThan(
        otherSession: Long,
        otherSequence: Long,
    ): Boolean = incarnation > otherSession || (incarnation == otherSession && sequence > otherSequence)
}

/** What a worker is told about one attempt. */
sealed interface WorkerCommand {
    val attempt: AttemptId

    /** Run it; no effect if it is known there already. */
    data class Start(
        override val attempt: AttemptId,
    ) : WorkerCommand

    /** Stop it, with [graceS] seconds to save its work. */
    data class Stop(
        override val attempt: AttemptId,
        val graceS: Double,
    ) : WorkerCommand

    /** Drop what is known of an attempt that has exited. */
    data class Forget(
        override val attempt: AttemptId,
    ) : WorkerCommand
}

/** Heartbeats from workers and commands to them. */
object WorkerCodec {
    private const val MAX_REPORTED = 4096

    /** Throws [InvalidField] where a field is missing or wrong. */
    fun decodeHeartbeat(map: Map<String, Any?>): WorkerHeartbeat {
        val fields = map.fields()
        val tasks = fields.maps("furrows")
        if (tasks.size > MAX_REPORTED) throw InvalidField("furrows", "has more than $MAX_REPORTED items")
        return WorkerHeartbeat(
            machine = MachineId(fields.text("beast")),
            endpoint = fields.text("endpoint"),
            type = TypeName(fields.text("breed")),
            zone = Zone(fields.text("paddock")),
            spot = fields.flag("stray"),
            incarnation = fields.count("shift"),
            sequence = fields.count("tally"),
            token = FencingToken(fields.countOr("brand", 0)),
            interruptionNoticeS = fields.amountOrNull("whistle_s"),
            tasks = tasks.map(::decodeTask),
        )
    }

    private fun decodeTask(fields: Fields): TaskStatus {
        val task = TaskId.parse(fields.text("furrow")) ?: throw InvalidField("furrow", "is not a task of a job")
        val state = fields.text("stance")
        val cause = fields.textOrNull("cause")
        return TaskStatus(
            attempt = AttemptId(task, fields.count("try")),
            state = TaskState.entries.firstOrNull { it.wire == state } ?: throw InvalidField("stance", "is unknown"),
            cause = cause?.let { text -> ExitCause.entries.firstOrNull { it.wire == text } ?: ExitCause.OTHER },
            saved = fields.flagOr("saved", false),
        )
    }

    /** The answer to a heartbeat, which renews the worker's lease. */
    fun encodeResponse(
        token: FencingToken,
        commands: List<WorkerCommand>,
    ): Map<String, Any?> = mapOf("brand" to token.value, "calls" to commands.map(::encodeCommand))

    /** Commands sent straight to a worker, valid for [incarnation] of it under [token]. */
    fun encodeDirectCommands(
        token: FencingToken,
        incarnation: Long,
        commands: List<WorkerCommand>,
    ): Map<String, Any?> =
        mapOf("brand" to token.value, "shift" to incarnation, "calls" to commands.map(::encodeCommand))

    private fun encodeCommand(command: WorkerCommand): Map<String, Any?> {
        val map = LinkedHashMap<String, Any?>()
        map["call"] =
            when (command) {
                is WorkerCommand.Start -> "run"
                is WorkerCommand.Stop -> "kill"
                is WorkerCommand.Forget -> "reap"
            }
        map["furrow"] = command.attempt.task.toString()
        map["try"] = command.attempt.number
        if (command is WorkerCommand.Stop) map["slack_s"] = command.graceS
        return map
    }
}
