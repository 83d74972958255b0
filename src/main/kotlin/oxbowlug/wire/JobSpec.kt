package oxbowlug.wire

/** How the tasks of a job belong together; [wire] is the protocol's word. */
enum class JobKind(
    val wire: String,
) {
    /** Independent tasks, each of which runs to completion. */
    ARRAY("batch"),

    /** Replicas that run until the job is cancelled. */
    SERVICE("standing"),

    /** Tasks that need one another: they are placed together or not at all. */
    GANG("group"),
}

/** From the most to the least urgent; only a more urgent one may displace another. */
enum class Priority(
    val wire: String,
) {
    PRODUCTION("prod"),
    HIGH("urgent"),
    NORMAL("standard"),
    LOW("best_effort"),
}

/** What a user asks for. Immutable from submission on. */
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
    /** Jobs that have to be done before any task of this one starts; each named once. */
    val dependsOn: List<JobId> = emptyList(),
) {
    /** Under [spread], the most tasks that one zone may hold: half of them, rounded up. */
    val maxTasksPerZone: Int get() = if (spread) (tasks + 1) / 2 else tasks

    val savesWork: Boolean get() = checkpointS > 0.0
}

/** Submissions, and job specifications as they are stored. */
object JobSpecCodec {
    const val MAX_TASKS = 100_000L
    const val DEPENDS_ON = "waits_on"
    const val TYPES = "breeds"

    /** More than any pipeline is known to have; a specification's size in the state service is a bound as well. */
    const val MAX_PREDECESSORS = 128
    private const val MAX_TYPES = 16
    private const val MAX_NAME = 80
    private const val MAX_SECONDS = 1e9

    /** Throws [InvalidField] with the published name of a field that is missing or wrong. */
    fun decode(map: Map<String, Any?>): JobSpec {
        val fields = map.fields()
        val id = fields.text("id")
        if (!JobId.isValid(id)) throw InvalidField("id", "holds characters that ids don't have")
        return JobSpec(
            id = JobId(id),
            className = ClassName(fields.text("harness", MAX_NAME)),
            team = TeamName(fields.text("yoke", MAX_NAME)),
            kind = kindOf(fields),
            priority = choice(fields.text("urgency"), "urgency", Priority.entries) { it.wire },
            tasks = fields.count("furrows", 1, MAX_TASKS).toInt(),
            cores = fields.amount("cores"),
            gpus = fields.amount("gpus"),
            memoryGb = fields.amount("mem_gb"),
            image = ImageName(fields.text("seedbag", MAX_NAME)),
            imageGb = fields.amount("pull_gb"),
            types = if (fields.has(TYPES)) types(fields.texts(TYPES, MAX_TYPES)) else null,
            zone = fields.textOrNull("paddock", MAX_NAME)?.let(::Zone),
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

    /** The same fields that [decode] reads; those without a value are left out. */
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

    /** The kind alone, for whoever doesn't need the whole specification. */
    fun kindOf(fields: Fields): JobKind = choice(fields.text("gait"), "gait", JobKind.entries) { it.wire }

    /** The jobs that this one depends on, each once; empty where the field is missing. */
    fun predecessorsOf(fields: Fields): List<JobId> {
        if (!fields.has(DEPENDS_ON)) return emptyList()
        val names = fields.texts(DEPENDS_ON, MAX_PREDECESSORS)
        if (!names.all(JobId::isValid)) throw InvalidField(DEPENDS_ON, "holds something that isn't a job's id")
        return names.distinct().map(::JobId)
    }

    private fun types(names: List<String>): List<TypeName> {
        if (names.any { it.isEmpty() || it.length > MAX_NAME }) throw InvalidField(TYPES, "holds an invalid name")
        return names.map(::TypeName)
    }

    private inline fun <T> choice(
        text: String,
        field: String,
        all: List<T>,
        name: (T) -> String,
    ): T = all.firstOrNull { name(it) == text } ?: throw InvalidField(field, "has an unknown value")
}
