package oxbowlug.wire

/** A job's id, chosen by its user. */
@JvmInline
value class JobId(
    val value: String,
) {
    override fun toString(): String = value

    /** Validates ids in submissions. */
    companion object {
        private const val MAX_LENGTH = 100

        /** Only letters, digits, `-`, `_` and `.` are valid: ids become parts of state service keys and URL paths. */
        fun isValid(text: String): Boolean =
            text.isNotEmpty() &&
                text.length <= MAX_LENGTH &&
                text.all { it in 'a'..'z' || it in 'A'..'Z' || it in '0'..'9' || it == '-' || it == '_' || it == '.' }
    }
}

/** The cloud's id of a rented machine. */
@JvmInline
value class MachineId(
    val value: String,
) : Comparable<MachineId> {
    override fun toString(): String = value

    override fun compareTo(other: MachineId): Int = value.compareTo(other.value)
}

/** The name of a machine type in the cloud's catalogue. */
@JvmInline
value class TypeName(
    val value: String,
) {
    override fun toString(): String = value
}

/** The name of an availability zone of the cloud. */
@JvmInline
value class Zone(
    val value: String,
) {
    override fun toString(): String = value
}

/** The name of a team in the settings. */
@JvmInline
value class TeamName(
    val value: String,
) {
    override fun toString(): String = value
}

/** The name of a container image. */
@JvmInline
value class ImageName(
    val value: String,
) {
    override fun toString(): String = value
}

/** The name of a job's class. Objectives and tardiness weights are set per class. */
@JvmInline
value class ClassName(
    val value: String,
) {
    override fun toString(): String = value
}

/** A leader's fencing token. A worker executes a command only if it has seen no higher token. */
@JvmInline
value class FencingToken(
    val value: Long,
) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Identifies one task of a job by its zero-based [index]. */
data class TaskId(
    val job: JobId,
    val index: Int,
) {
    override fun toString(): String = "$job/$index"

    /** Parses the text form of [toString]. */
    companion object {
        /** Parses `JOB/INDEX`. Returns null if [text] is not of this form. */
        fun parse(text: String): TaskId? {
            val slash = text.lastIndexOf('/')
            if (slash <= 0) return null
            val index = text.substring(slash + 1).toIntOrNull() ?: return null
            return if (index < 0) null else TaskId(JobId(text.substring(0, slash)), index)
        }
    }
}

/** Identifies one attempt at running a task. Workers start, stop and report attempts. */
data class AttemptId(
    val task: TaskId,
    val number: Long,
) {
    override fun toString(): String = "$task#$number"
}
