package oxbowlug.wire

/** The state of a task in a worker's heartbeat; [wire] is its value in the protocol. */
enum class TaskState(
    val wire: String,
) {
    FETCHING("pulling"),
    WAITING("waiting"),
    RUNNING("running"),
    SAVING("flushing"),
    EXITED("exited"),
}

/**
 * Why an attempt at a task has exited; [wire] is its value in the protocol. All causes other than [DONE], [STOPPED] and
 * [ERROR] count as a refused start.
 */
enum class ExitCause(
    val wire: String,
) {
    DONE("done"),
    STOPPED("stopped"),
    ERROR("error"),

    /** The machine has too few free resources. */
    FULL("full"),

    /** Another attempt at the same task is on the machine. */
    BUSY("busy"),

    /** The worker has no specification of the job. */
    UNKNOWN("unknown"),

    /** The other tasks of the gang are gone. */
    PEERS_GONE("mates_gone"),

    /** The gang is incomplete. */
    ALONE("incomplete"),

    /** A cause that this version does not know, and that a later protocol may add. The attempt has exited. */
    OTHER(""),
}

/** One task in a heartbeat. [cause] is set once the task has exited; [saved] says whether its work was saved. */
data class TaskStatus(
    val attempt: AttemptId,
    val state: TaskState,
    val cause: ExitCause?,
    val saved: Boolean,
)

/**
 * A worker's report of its machine and its tasks. Of two heartbeats of one machine, the one with the larger
 * ([incarnation], [sequence]) is newer. [token] is the highest fencing token that the worker has received. On a spot
 * machine that the cloud is about to reclaim, [interruptionNoticeS] is the number of seconds until then.
 */
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
    /** Whether this heartbeat is newer than the one with [otherIncarnation] and [otherSequence]. */
    fun isNewerThan(
        otherIncarnation: Long,
        otherSequence: Long,
    ): Boolean = incarnation > otherIncarnation || (incarnation == otherIncarnation && sequence > otherSequence)
}

/** A command to a worker about one attempt. */
sealed interface WorkerCommand {
    val attempt: AttemptId

    /** Start the attempt. Has no effect if the worker already has it. */
    data class Start(
        override val attempt: AttemptId,
    ) : WorkerCommand

    /** Stop the attempt, with [graceS] seconds to save its work. */
    data class Stop(
        override val attempt: AttemptId,
        val graceS: Double,
    ) : WorkerCommand

    /** Remove the record of an attempt that has exited. */
    data class Forget(
        override val attempt: AttemptId,
    ) : WorkerCommand
}

/** Encodes commands to workers and decodes their heartbeats. The field names are fixed by the published protocol. */
object WorkerCodec {
    private const val MAX_TASKS = 4096

    /** Decodes a heartbeat. Throws [InvalidField] if a field is missing or invalid. */
    fun decodeHeartbeat(map: Map<String, Any?>): WorkerHeartbeat {
        val fields = map.fields()
        val tasks = fields.maps("furrows")
        if (tasks.size > MAX_TASKS) throw InvalidField("furrows", "has more than $MAX_TASKS items")
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

    /** Encodes the response to a heartbeat. The response renews the worker's lease. */
    fun encodeResponse(
        token: FencingToken,
        commands: List<WorkerCommand>,
    ): Map<String, Any?> = mapOf("brand" to token.value, "calls" to commands.map(::encodeCommand))

    /** Encodes a request that the controller sends to a worker, valid only for its [incarnation] under [token]. */
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
