package oxbowlug.wire

/** How the tasks of a job relate to one another; [wire] is the kind's value in the protocol. */
enum class JobKind(
    val wire: String,
) {
    /** Independent tasks, each of which runs to completion. */
    ARRAY("batch"),

    /** Replicas that run until the job is cancelled. */
    SERVICE("standing"),

    /** Tasks that can only run together: all of them are placed at once, or none. */
    GANG("group"),
}

/**
 * A job's priority, from the highest to the lowest: the constants are compared by their order. Apart from the
 * guarantees of teams, only a job of a higher priority may preempt a task. [wire] is its value in the protocol.
 */
enum class Priority(
    val wire: String,
) {
    PRODUCTION("prod"),
    HIGH("urgent"),
    NORMAL("standard"),
    LOW("best_effort"),
}

/**
 * A job as its user specified it. It never changes after submission.
 *
 * The resources ([cores], [gpus], [memoryGb]) and the times are those of one task. [types] and [zone] restrict the
 * machines that may be used; null allows all. With [oneZone], all tasks run in the same zone; with [spread], no zone
 * has more than [maxTasksPerZone] of them; with [spot], spot machines are allowed. [runEstimateS] is the expected run
 * time of a task, [saveS] the time that a task needs to save its work, and [deadlineS] counts from the submission.
 */
data class JobSpec(
    val id: JobId,
    val className: ClassName,
    val team: TeamName,
    val kind: JobKind,
    val priority: Priority,
    val tasks: Int,
    val cores: Double,
    val gpus: Double,
    val memoryGb: Double,
    val image: ImageName,
    val imageGb: Double,
    val types: List<TypeName>?,
    val zone: Zone?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spot: Boolean,
    val runEstimateS: Double,
    val checkpointS: Double,
    val saveS: Double,
    val deadlineS: Double?,
    /** The jobs that must be done before any task of this job starts, without duplicates. */
    val dependsOn: List<JobId> = emptyList(),
) {
    /** The maximum number of tasks in one zone: with [spread], half of all tasks, rounded up. */
    val maxTasksPerZone: Int get() = if (spread) (tasks + 1) / 2 else tasks

    /** Whether a task that is stopped can save its work. */
    val savesWork: Boolean get() = checkpointS > 0.0
}

/**
 * Encodes and decodes job specifications, both in submissions and as stored in the state service. The field names are
 * fixed by the published protocol.
 */
object JobSpecCodec {
    const val MAX_TASKS = 100_000L
    const val DEPENDS_ON = "waits_on"
    const val TYPES = "breeds"

    /**
     * The maximum number of jobs that one job may depend on: more than any known pipeline needs. The size of a
     * specification in the state service is limited as well.
     */
    const val MAX_PREDECESSORS = 128
    private const val MAX_TYPES = 16
    private const val MAX_NAME_CHARS = 80
    private const val MAX_SECONDS = 1e9

    /** Decodes a specification. Throws [InvalidField] with the protocol's name of a missing or invalid field. */
    fun decode(map: Map<String, Any?>): JobSpec {
        val fields = map.fields()
        val id = fields.text("id")
        if (!JobId.isValid(id)) throw InvalidField("id", "holds characters that ids don't have")
        return JobSpec(
            id = JobId(id),
            className = ClassName(fields.text("harness", MAX_NAME_CHARS)),
            team = TeamName(fields.text("yoke", MAX_NAME_CHARS)),
            kind = kindOf(fields),
            priority = enumConstant(fields.text("urgency"), "urgency", Priority.entries) { it.wire },
            tasks = fields.count("furrows", 1, MAX_TASKS).toInt(),
            cores = fields.amount("cores"),
            gpus = fields.amount("gpus"),
            memoryGb = fields.amount("mem_gb"),
            image = ImageName(fields.text("seedbag", MAX_NAME_CHARS)),
            imageGb = fields.amount("pull_gb"),
            types = if (fields.has(TYPES)) parseTypes(fields.texts(TYPES, MAX_TYPES)) else null,
            zone = fields.textOrNull("paddock", MAX_NAME_CHARS)?.let(::Zone),
            oneZone = fields.flag("same_place"),
            spread = fields.flag("scatter"),
            spot = fields.flag("stray"),
            runEstimateS = fields.amount("haul_s", MAX_SECONDS),
            checkpointS = fields.amount("rest_s", MAX_SECONDS),
            saveS = fields.amount("stow_s", MAX_SECONDS),
            deadlineS = fields.amountOrNull("dusk_s"),
            dependsOn = predecessorsOf(fields),
        )
    }

    /** Encodes the fields that [decode] reads, without those that have no value. */
    fun encode(spec: JobSpec): Map<String, Any?> {
        val map = LinkedHashMap<String, Any?>()
        map["id"] = spec.id.value
        map["harness"] = spec.className.value
        map["yoke"] = spec.team.value
        map["gait"] = spec.kind.wire
        map["urgency"] = spec.priority.wire
        map["furrows"] = spec.tasks
        map["cores"] = spec.cores
        map["gpus"] = spec.gpus
        map["mem_gb"] = spec.memoryGb
        map["seedbag"] = spec.image.value
        map["pull_gb"] = spec.imageGb
        spec.types?.let { types -> map[TYPES] = types.map { it.value } }
        spec.zone?.let { map["paddock"] = it.value }
        map["same_place"] = spec.oneZone
        map["scatter"] = spec.spread
        map["stray"] = spec.spot
        map["haul_s"] = spec.runEstimateS
        map["rest_s"] = spec.checkpointS
        map["stow_s"] = spec.saveS
        spec.deadlineS?.let { map["dusk_s"] = it }
        if (spec.dependsOn.isNotEmpty()) map[DEPENDS_ON] = spec.dependsOn.map { it.value }
        return map
    }

    /** Decodes only the kind, for callers that don't need the whole specification. */
    fun kindOf(fields: Fields): JobKind = enumConstant(fields.text("gait"), "gait", JobKind.entries) { it.wire }

    /** Decodes the jobs that this job depends on, without duplicates; empty if the field is missing. */
    fun predecessorsOf(fields: Fields): List<JobId> {
        if (!fields.has(DEPENDS_ON)) return emptyList()
        val names = fields.texts(DEPENDS_ON, MAX_PREDECESSORS)
        if (!names.all(JobId::isValid)) throw InvalidField(DEPENDS_ON, "holds something that isn't a job's id")
        return names.distinct().map(::JobId)
    }

    private fun parseTypes(names: List<String>): List<TypeName> {
        if (names.any { it.isEmpty() || it.length > MAX_NAME_CHARS }) throw InvalidField(TYPES, "holds an invalid name")
        return names.map(::TypeName)
    }

    private inline fun <T> enumConstant(
        text: String,
        field: String,
        values: List<T>,
        wireName: (T) -> String,
    ): T = values.firstOrNull { wireName(it) == text } ?: throw InvalidField(field, "has an unknown value")
}
