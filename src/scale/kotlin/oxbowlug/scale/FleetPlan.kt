package oxbowlug.scale

import oxbowlug.wire.ClassName
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineType
import oxbowlug.wire.Priority
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName
import oxbowlug.wire.Zone
import kotlin.math.ceil

/** A team's share of the fleet, in cores and accelerators. */
internal data class TeamShare(
    val name: String,
    val guaranteedCores: Double,
    val maxCores: Double,
    val guaranteedGpus: Double,
    val maxGpus: Double,
)

/** A job with the time that each of its tasks takes; services never end by themselves. */
internal class PlannedJob(val spec: JobSpec, val runMs: Long)

/** Which machines, teams and jobs there are: proportions are those of the size that the fleet is designed for. */
internal class FleetPlan(private val options: ScaleOptions, topology: Topology) {
    private val zones: List<Zone> = topology.zones
    private val coreType = MachineType(
        TypeName("core-64"), MACHINE_CORES, 0.0, MACHINE_GB, CACHE_GB, FETCH_GB_PER_S, 3.0, 1.2, BOOT_S, zones,
    )
    private val acceleratedType = MachineType(
        TypeName("accelerated-8"), MACHINE_CORES, GPUS, MACHINE_GB, CACHE_GB, FETCH_GB_PER_S, 20.0, 8.0, BOOT_S, zones,
    )
    val types: List<MachineType> = listOf(coreType, acceleratedType)
    private val accelerated = ceil(options.workers * ACCELERATED_SHARE).toInt()
    private val gpus = accelerated * GPUS
    private val cores = options.workers * MACHINE_CORES
    val teams: List<TeamShare> = List(options.teams) { index ->
        TeamShare(
            "team-%03d".format(index), cores / options.teams, cores * LIMIT_SHARES / options.teams,
            gpus / options.teams, gpus * LIMIT_SHARES / options.teams,
        )
    }
    private var made = 0

    fun typeOf(index: Int): MachineType = if (index % ACCELERATED_EVERY == 0) acceleratedType else coreType

    fun zoneOf(index: Int): Zone = zones[index % zones.size]

    /** Services that fill the fleet to the asked number of tasks: accelerators first, cores with the rest. */
    fun standingJobs(): List<PlannedJob> {
        val perTeam = (gpus / options.teams).toInt().coerceAtLeast(1)
        val acceleratedTasks = minOf((gpus * GPU_FILL).toInt(), options.targetTasks)
        val jobs = inChunks(acceleratedTasks, minOf(options.tasksPerJob, perTeam)) { tasks ->
            service("accelerated", tasks, Priority.PRODUCTION, gpus = 1.0)
        }
        return jobs + inChunks(options.targetTasks - acceleratedTasks, options.tasksPerJob) { tasks ->
            service("serving", tasks, Priority.PRODUCTION)
        }
    }

    private fun inChunks(tasks: Int, size: Int, make: (Int) -> PlannedJob): List<PlannedJob> =
        List((tasks + size - 1) / size) { index -> make(minOf(size, tasks - index * size)) }

    private fun service(className: String, tasks: Int, priority: Priority, gpus: Double = 0.0): PlannedJob =
        PlannedJob(spec(className, JobKind.SERVICE, priority, tasks, SERVICE_CORES, gpus), Long.MAX_VALUE)

    /** Urgent replicas, a few of them. */
    fun urgentJob(tasks: Int): PlannedJob = service(URGENT, tasks, Priority.HIGH)

    fun batchJob(tasks: Int, runS: Double): PlannedJob {
        val spec = spec("batch", JobKind.ARRAY, Priority.NORMAL, tasks, cores = 1.0, gpus = 0.0)
        return PlannedJob(spec.copy(runEstimateS = runS, deadlineS = runS * DEADLINE_RUNS), (runS * MS).toLong())
    }

    private fun spec(
        className: String,
        kind: JobKind,
        priority: Priority,
        tasks: Int,
        cores: Double,
        gpus: Double,
    ): JobSpec {
        val number = made++
        return JobSpec(
            id = JobId("$className-%07d".format(number)),
            className = ClassName(className),
            team = TeamName(teams[number % teams.size].name),
            kind = kind,
            priority = priority,
            tasks = tasks,
            cores = cores,
            gpus = gpus,
            memoryGb = TASK_GB,
            image = ImageName("$className-${number % IMAGES}"),
            imageGb = IMAGE_GB,
            types = null,
            zone = null,
            oneZone = false,
            spread = kind == JobKind.SERVICE && tasks > 1 && zones.size > 1,
            spot = false,
            runEstimateS = 0.0,
            checkpointS = 0.0,
            saveS = 0.0,
            deadlineS = null,
        )
    }

    companion object {
        const val URGENT = "urgent"
        const val VALUE_KB = 16.0
        const val TXN_OPS = 16
        const val LIST_LAG_MS = 5_000L

        /** Seconds within which the work of a class should start; the urgent one's is the users' own figure. */
        val WAITS_S = mapOf(URGENT to 7.4, "serving" to 40.0, "accelerated" to 40.0)

        /** 6,700 accelerators on 6,500 machines, eight on each that has any. */
        private const val ACCELERATED_EVERY = 8
        private const val ACCELERATED_SHARE = 1.0 / ACCELERATED_EVERY
        private const val GPUS = 8.0
        private const val MACHINE_CORES = 64.0
        private const val MACHINE_GB = 256.0
        private const val CACHE_GB = 400.0
        private const val FETCH_GB_PER_S = 1.0
        private const val BOOT_S = 30.0
        private const val SERVICE_CORES = 4.0
        private const val TASK_GB = 8.0
        private const val GPU_FILL = 0.9
        private const val LIMIT_SHARES = 2.0
        private const val IMAGES = 5
        private const val IMAGE_GB = 0.5
        private const val DEADLINE_RUNS = 6.0
        private const val MS = 1000.0
    }
}
