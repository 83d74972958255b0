package oxbowlug.scale

import joptsimple.OptionSet
import java.io.File
import java.util.Locale

/** The options of a run. Rates are those of the whole fleet. */
internal data class ScaleOptions(
    val workers: Int,
    val tasksPerWorker: Double,
    val tasksPerJob: Int,
    val controllers: Int,
    val regions: Int,
    val zones: Int,
    val teams: Int,
    val jobsPerDay: Double,
    val peakStartsPerSecond: Double,
    val scenarios: List<Scenario>,
    val scenarioSeconds: Int?,
    val stateRps: Double,
    val writeRps: Double,
    val cloudRps: Double,
    val heartbeatS: Double,
    val leaseS: Double,
    val heapMb: Int?,
    val maxSockets: Int,
    val firstPort: Int,
    val seed: Long,
    val output: File,
    /** The deploy file whose `run` command starts the controllers. */
    val deploy: File,
    /** Whether the controllers' policy lists the zones of each region. */
    val regionalDelegates: Boolean,
) {
    val targetTasks: Int get() = (workers * tasksPerWorker).toInt()
}

/** Parses and validates the arguments of a scale run. */
internal class ScaleOptionParser :
    ArgumentParser<ScaleOptions>(
        "Runs a fleet on loopback: real controllers, hollow workers, a state service and a cloud.",
    ) {
    private val workers = intOption("workers", "hollow workers", 40)
    private val tasksPerWorker = doubleOption("tasks-per-worker", "tasks running on each worker at ordinary load", 12.3)
    private val tasksPerJob = intOption("tasks-per-job", "replicas of a service at ordinary load", 40)
    private val controllers = intOption("controllers", "controller processes", 3)
    private val regions = intOption("regions", "regions, 25 ms apart", 2)
    private val zones = intOption("zones", "zones, shared out among the regions", 4)
    private val teams = intOption("teams", "teams, each with a limit", 8)
    private val jobsPerDay =
        doubleOption("jobs-per-day", "arrivals a day at 6,500 workers, fewer in proportion", 63_000.0)
    private val peakStarts = doubleOption("peak-starts", "task starts a second at the peak and 6,500 workers", 2_900.0)
    private val scenarios = parser.accepts("scenarios", "scenarios to run, of: ${Scenario.names}")
        .withRequiredArg().withValuesSeparatedBy(',').defaultsTo("ordinary", "peak", "leader-killed")
    private val scenarioLength = parser.accepts("scenario-seconds", "seconds of each scenario, instead of its default")
        .withRequiredArg().ofType(Int::class.javaObjectType)
    private val stateRps = doubleOption("state-rps", "requests a second that the state service takes", 900.0)
    private val writeRps = doubleOption("write-rps", "changes a second that the state service takes", 70.0)
    private val cloudRps = doubleOption("cloud-rps", "requests a second that the cloud takes", 6.0)
    private val heartbeatS = doubleOption("report-s", "seconds between a worker's heartbeats", 2.5)
    private val leaseS = doubleOption("lease-s", "seconds of a worker's lease", 15.0)
    private val heapMb = parser.accepts("heap-mb", "heap of each controller, instead of the deployed one")
        .withRequiredArg().ofType(Int::class.javaObjectType)
    private val maxSockets = intOption("max-sockets", "sockets that a controller may hold; the run fails above", 20_000)
    private val firstPort = intOption("first-port", "first of the six ports used on loopback", 21_000)
    private val seed = intOption("seed", "seed of all random choices", 1)
    private val output = parser.accepts("output", "folder for the reports, the settings and the controllers' logs")
        .withRequiredArg().defaultsTo("target/scale")
    private val deploy = parser.accepts("deploy", "file whose run command starts the controllers")
        .withRequiredArg().defaultsTo("deploy/service.toml")
    private val regionalDelegatesFlag =
        parser.accepts("regional-delegates", "list the zones of each region in the controllers' policy")

    override fun read(parsed: OptionSet): ScaleOptions {
        val count = parsed.valueOf(workers)
        val fleetFraction = count / FULL_FLEET_WORKERS
        return ScaleOptions(
            workers = count,
            tasksPerWorker = parsed.valueOf(tasksPerWorker),
            tasksPerJob = parsed.valueOf(tasksPerJob),
            controllers = parsed.valueOf(controllers),
            regions = parsed.valueOf(regions),
            zones = parsed.valueOf(zones),
            teams = parsed.valueOf(teams),
            jobsPerDay = parsed.valueOf(jobsPerDay) * fleetFraction,
            peakStartsPerSecond = parsed.valueOf(peakStarts) * fleetFraction,
            scenarios = parsed.valuesOf(scenarios).map { name ->
                Scenario.of(name) ?: throw InvalidOption("scenarios: $name is none of ${Scenario.names}")
            },
            scenarioSeconds = parsed.valueOf(scenarioLength),
            stateRps = parsed.valueOf(stateRps),
            writeRps = parsed.valueOf(writeRps),
            cloudRps = parsed.valueOf(cloudRps),
            heartbeatS = parsed.valueOf(heartbeatS),
            leaseS = parsed.valueOf(leaseS),
            heapMb = parsed.valueOf(heapMb),
            maxSockets = parsed.valueOf(maxSockets),
            firstPort = parsed.valueOf(firstPort),
            seed = parsed.valueOf(seed).toLong(),
            output = File(parsed.valueOf(output)),
            deploy = File(parsed.valueOf(deploy)),
            regionalDelegates = parsed.has(regionalDelegatesFlag),
        )
    }

    override fun check(options: ScaleOptions) {
        with(options) {
            require("workers", workers in 1..MAX_WORKERS, "must be 1 to $MAX_WORKERS")
            require("controllers", controllers in 1..MAX_CONTROLLERS, "must be 1 to $MAX_CONTROLLERS")
            require("regions", regions in 1..MAX_REGIONS, "must be 1 to $MAX_REGIONS")
            require("zones", zones in regions..MAX_ZONES, "must be $regions (one for each region) to $MAX_ZONES")
            require("teams", teams in 1..MAX_TEAMS, "must be 1 to $MAX_TEAMS")
            require(
                "tasks-per-worker",
                tasksPerWorker > 0 && tasksPerWorker <= MAX_TASKS_PER_WORKER,
                "must be up to $MAX_TASKS_PER_WORKER",
            )
            require("tasks-per-job", tasksPerJob in 1..MAX_JOB_TASKS, "must be 1 to $MAX_JOB_TASKS")
            require("scenario-seconds", scenarioSeconds == null || scenarioSeconds > 0, "must be more than 0")
            require("report-s", heartbeatS >= MIN_HEARTBEAT_S, "must be at least $MIN_HEARTBEAT_S")
            require("lease-s", leaseS > heartbeatS * 2, "must be more than two heartbeat intervals")
            require("heap-mb", heapMb == null || heapMb >= MIN_HEAP_MB, "must be at least $MIN_HEAP_MB")
            for ((name, value) in rates()) require(name, value > 0 && value.isFinite(), "must be more than 0")
            require("deploy", deploy.isFile, "$deploy is not a file; run from the root of the repository")
            require("first-port", firstPort in FIRST_PORT_RANGE, "must be within $FIRST_PORT_RANGE")
            val needed = workers / controllers
            require("max-sockets", maxSockets > needed, "$workers workers need more than $needed on a controller")
            val files = openFileLimit()
            val connections = workers * SOCKETS_PER_WORKER
            require("workers", connections < files, "need $connections open files, and $files are allowed (ulimit -n)")
        }
    }

    private fun ScaleOptions.rates() = listOf(
        "jobs-per-day" to jobsPerDay, "peak-starts" to peakStartsPerSecond, "state-rps" to stateRps,
        "write-rps" to writeRps, "cloud-rps" to cloudRps,
    )

    /** The limit of open file descriptors of this process and of the processes that it starts. */
    private fun openFileLimit(): Long = File("/proc/self/limits").takeIf { it.canRead() }
        ?.readLines()?.firstOrNull { it.startsWith("Max open files") }
        ?.lowercase(Locale.ROOT)?.split(Regex(" {2,}"))?.get(1)?.toLongOrNull() ?: Long.MAX_VALUE

    private companion object {
        const val FULL_FLEET_WORKERS = 6_500.0
        const val MAX_WORKERS = 60_000
        const val MAX_CONTROLLERS = 9
        const val MAX_REGIONS = 8
        const val MAX_ZONES = 64
        const val MAX_TEAMS = 1_000
        const val MAX_TASKS_PER_WORKER = 16.0
        const val MAX_JOB_TASKS = 1_000
        const val MIN_HEARTBEAT_S = 0.5
        const val MIN_HEAP_MB = 48

        /** Both ends of a heartbeat connection are on this machine, though in different processes. */
        const val SOCKETS_PER_WORKER = 2
        val FIRST_PORT_RANGE = 1_024..32_000
    }
}
