package oxbowlug.scale

import oxbowlug.wire.ClassName
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.MachineType
import oxbowlug.wire.Priority
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName
import oxbowlug.wire.Zone
import kotlin.math.ceil

/** A team's guaranteed and maximum share of the fleet, in cores and accelerators. */
internal data class TeamShare(
    val name: String,
    val guaranteedCores: Double,
    val maxCores: Double,
    val guaranteedGpus: Double,
    val maxGpus: Double,
)

/** A job and the run time of each of its tasks. The tasks of a service never end by themselves. */
internal class PlannedJob(val spec: JobSpec, val runMs: Long)

/** The machines, teams and jobs of a run, in the proportions of the fleet size that the service is designed for. */
internal class FleetPlan(private val options: ScaleOptions, topology: Topology) {
    private val zones: List<Zone> = topology.zones
    private val coreType = MachineType(
        TypeName("core-64"), MACHINE_CORES, 0.0, MACHINE_GB, CACHE_GB, FETCH_GB_PER_S, 3.0, 1.2, BOOT_S, zones,
    )
    private val acceleratedType = MachineType(
        TypeName("accelerated-8"), MACHINE_CORES, GPUS, MACHINE_GB, CACHE_GB, FETCH_GB_PER_S, 20.0, 8.0, BOOT_S, zones,
    )
    val types: List<MachineType> = listOf(coreType, acceleratedType)
    private val acceleratedWorkers = ceil(options.workers * ACCELERATED_SHARE).toInt()
    private val gpus = acceleratedWorkers * GPUS
    private val cores = options.workers * MACHINE_CORES
    val teams: List<TeamShare> = List(options.teams) { index ->
        TeamShare(
            "team-%03d".format(index), cores / options.teams, cores * LIMIT_PER_GUARANTEE / options.teams,
            gpus / options.teams, gpus * LIMIT_PER_GUARANTEE / options.teams,
        )
    }
    private var jobCount = 0

    fun typeOf(index: Int): MachineType = if (index % ACCELERATED_EVERY == 0) acceleratedType else coreType

    fun zoneOf(index: Int): Zone = zones[index % zones.size]

    /** Services that fill the fleet to the target number of tasks: first on accelerators, the rest on cores. */
    fun standingJobs(): List<PlannedJob> {
        val perTeam = (gpus / options.teams).toInt().coerceAtLeast(1)
        val acceleratedTasks = minOf((gpus * GPU_TARGET_SHARE).toInt(), options.targetTasks)
        val jobs = splitIntoJobs(acceleratedTasks, minOf(options.tasksPerJob, perTeam)) { tasks ->
            service("accelerated", tasks, Priority.PRODUCTION, gpus = 1.0)
        }
        return jobs + splitIntoJobs(options.targetTasks - acceleratedTasks, options.tasksPerJob) { tasks ->
            service("serving", tasks, Priority.PRODUCTION)
        }
    }

    private fun splitIntoJobs(tasks: Int, size: Int, make: (Int) -> PlannedJob): List<PlannedJob> =
        List((tasks + size - 1) / size) { index -> make(minOf(size, tasks - index * size)) }

    private fun service(className: String, tasks: Int, priority: Priority, gpus: Double = 0.0): PlannedJob =
        PlannedJob(spec(className, JobKind.SERVICE, priority, tasks, SERVICE_CORES, gpus), Long.MAX_VALUE)

    /** A service of urgent replicas. */
    fun urgentJob(tasks: Int): PlannedJob = service(URGENT, tasks, Priority.HIGH)

    fun batchJob(tasks: Int, runS: Double): PlannedJob {
        val spec = spec("batch", JobKind.ARRAY, Priority.NORMAL, tasks, cores = 1.0, gpus = 0.0)
        return PlannedJob(
            spec.copy(runEstimateS = runS, deadlineS = runS * DEADLINE_RUN_FACTOR),
            (runS * MS_PER_S).toLong(),
        )
    }

    /** An array of the largest size, of a class with an objective for starts. A task takes most of a machine. */
    fun largeArray(number: Int): PlannedJob {
        val spec = batchJob(JobSpecCodec.MAX_TASKS.toInt(), LARGE_ARRAY_RUN_S).spec.copy(
            id = JobId("large-%07d".format(number)),
            className = ClassName("serving"),
            team = TeamName(teams[number % teams.size].name),
            priority = Priority.LOW,
            cores = MACHINE_CORES * LARGE_TASK_SHARE,
        )
        return PlannedJob(spec, (LARGE_ARRAY_RUN_S * MS_PER_S).toLong())
    }

    private fun spec(
        className: String,
        kind: JobKind,
        priority: Priority,
        tasks: Int,
        cores: Double,
        gpus: Double,
    ): JobSpec {
        val number = jobCount++
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

        /** Seconds within which a class's tasks should start. The users require 7.4 s for urgent work. */
        val START_TARGETS_S = mapOf(URGENT to 7.4, "serving" to 40.0, "accelerated" to 40.0)

        /** At full size 6,700 accelerators on 6,500 machines, eight on each accelerated machine. */
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
        private const val GPU_TARGET_SHARE = 0.9
        private const val LIMIT_PER_GUARANTEE = 2.0
        private const val IMAGES = 5
        private const val IMAGE_GB = 0.5
        private const val DEADLINE_RUN_FACTOR = 6.0
        private const val LARGE_ARRAY_RUN_S = 2.0
        private const val LARGE_TASK_SHARE = 0.9
        private const val MS_PER_S = 1000.0
    }
}
