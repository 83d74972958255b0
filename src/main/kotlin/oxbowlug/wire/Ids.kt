package oxbowlug.wire

/** A job's id, as its user chose it. */
@JvmInline
value class JobId(
    val value: String,
) {
    override fun toString(): String = value

    /** Checks and reads what comes from outside. */
    companion object {
        private const val MAX_LENGTH = 100

        /** Ids become keys of the state service and parts of paths, so only harmless characters are taken. */
        fun isValid(text: String): Boolean =
            text.isNotEmpty() &&
                text.length <= MAX_LENGTH &&
                text.all { it in 'a'..'z' || it in 'A'..'Z' || it in '0'..'9' || it == '-' || it == '_' || it == '.' }
    }
}

/** A rented machine's name in the cloud. */
@JvmInline
value class MachineId(
    val value: String,
) : Comparable<MachineId> {
    override fun toString(): String = value

    override fun compareTo(other: MachineId): Int = value.compareTo(other.value)
}

/** A machine type's name in the cloud's catalogue. */
@JvmInline
value class TypeName(
    val value: String,
) {
    override fun toString(): String = value
}

/** A zone of the cloud. */
@JvmInline
value class Zone(
    val value: String,
) {
    override fun toString(): String = value
}

/** A team of the platform's settings. */
@JvmInline
value class TeamName(
    val value: String,
) {
    override fun toString(): String = value
}

/** A container image. */
@JvmInline
value class ImageName(
    val value: String,
) {
    override fun toString(): String = value
}

/** A job's class, for objectives and weights. */
@JvmInline
value class ClassName(
    val value: String,
) {
    override fun toString(): String = value
}

/** The fencing token that workers compare: whoever holds the highest one may command them. */
@JvmInline
value class FencingToken(
    val value: Long,
) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** One task of a job. */
data class TaskId(
    val job: JobId,
    val index: Int,
) {
    override fun toString(): String = "$job/$index"

    /** Checks and reads what comes from outside. */
    companion object {
        /** The task of `JOB/INDEX`, or null if [text] is none. */
        fun parse(text: String): TaskId? {
            val slash = text.lastIndexOf('/')
            if (slash <= 0) return null
            val index = text.substring(slash + 1).toIntOrNull() ?: return null
            return if (index < 0) null else TaskId(JobId(text.substring(0, slash)), index)
        }
    }
}

/** One attempt at a task: what a worker is told to run. */
data class AttemptId(
    val task: TaskId,
    val number: Long,
) {
    override fun toString(): String = "$task#$number"
}
