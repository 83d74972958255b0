package oxbowlug.scale

import io.vertx.core.Vertx
import kotlinx.coroutines.delay
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.standin.VirtualTime

/** Advances the stand-ins' clock with real time. Its lag shows whether the stand-ins kept up. */
internal class WallClock(vertx: Vertx, private val time: VirtualTime) {
    private val startNs = System.nanoTime()
    private var isAdvancing = false

    /** The longest time by which the stand-ins lagged behind real time, in milliseconds. */
    var maxLagMs = 0L

    @Volatile
    private var isStopped = false

    init {
        vertx.setPeriodic(STEP_MS) {
            catchUp()
        }
    }

    /**
     * Runs all events that are due. A message that arrives after a stall of the stand-ins must not get an earlier time
     * than the events that were due during the stall: a lease that has expired would still look valid.
     */
    fun catchUp() {
        if (isStopped || isAdvancing) return
        isAdvancing = true
        val now = (System.nanoTime() - startNs) / NS_PER_MS
        maxLagMs = maxOf(maxLagMs, now - time.nowMs)
        time.advanceTo(now)
        isAdvancing = false
    }

    /** Runs no more events, since what they use is being closed. */
    fun stop() {
        isStopped = true
    }

    private companion object {
        const val STEP_MS = 2L
        const val NS_PER_MS = 1_000_000L
    }
}

/** Runs the scenarios one after the other on the same fleet and measures them. */
internal class ScaleRun(
    options: ScaleOptions,
    private val printLine: (String) -> Unit,
) : LoopbackRun(options, checksStoredRecords = false) {
    val arrivals = Arrivals(options, time, plan, fleet, users)
    private val sampler = Sampler(controllers)
    private val metricsReader = MetricsReader(vertx)
    private val samples = ArrayList<Sample>()
    private val results = ArrayList<ScenarioResult>()
    private var filledInS = 0.0
    private var window: Window? = null

    /** Has to run on the event loop, which owns all state of the stand-ins. */
    suspend fun execute(): ScaleReport {
        listen()
        fleet.boot()
        startControllers()
        sampler.start()
        users.start()
        val startedMs = time.nowMs
        awaitHealthy()
        printLine("${controllers.size} controllers healthy after ${(time.nowMs - startedMs) / MS_PER_S} s")
        checkMalformedHeartbeats()
        startMeasuring()
        fill()
        arrivals.startSubmitting()
        for (scenario in options.scenarios) {
            printLine("running ${scenario.title}")
            results.add(execute(scenario))
            printLine(
                ScenarioTable.headings.zip(ScenarioTable.cells(results.last())).joinToString { (h, c) -> "$h: $c" },
            )
        }
        return report(problem())
    }

    /** Starts the first controller before the others, so that it becomes the first leader in every run. */
    private suspend fun startControllers() {
        for ((index, controller) in controllers.withIndex()) {
            controller.start()
            if (index == 0) delay(HEAD_START_MS)
        }
    }

    /** Checks that each controller answers a malformed heartbeat with a client error at once. */
    private suspend fun checkMalformedHeartbeats() {
        for (controller in controllers) {
            val status = MalformedHeartbeat.send(vertx, controller.identity)
            if (status !in MalformedHeartbeat.CLIENT_ERRORS) {
                throw StartFailed("${controller.identity.label} answers a malformed heartbeat with $status")
            }
        }
    }

    private fun startMeasuring() {
        time.every(POLL_MS) { window?.pollLeases() }
        var cpuSecondsBefore = controllers.map { it.cpuSeconds }
        time.every(SECOND_MS) {
            fleet.checker.check(fleet.cloud.workers)
            controllers.forEach { it.restartIfExited() }
            window?.recordSecond()
            val cpuSecondsNow = controllers.map { it.cpuSeconds }
            samples.add(
                Sample(
                    time.nowMs / MS_PER_S, cpuSecondsNow.zip(cpuSecondsBefore) { after, before -> after - before },
                    controllers.map { it.latestSample.residentMb }, controllers.map { it.latestSample.sockets },
                    fleet.tasksRunning(),
                ),
            )
            cpuSecondsBefore = cpuSecondsNow
        }
    }

    /** Submits the standing services as fast as they are accepted, and waits until nearly all of their tasks run. */
    private suspend fun fill() {
        val startedMs = time.nowMs
        val jobs = ArrayDeque(plan.standingJobs())
        var pendingJobs = 0
        while (jobs.isNotEmpty() || pendingJobs > 0) {
            while (pendingJobs < MAX_PENDING_JOBS && jobs.isNotEmpty()) {
                pendingJobs++
                arrivals.submit(jobs.removeFirst()) { pendingJobs-- }
            }
            if (time.nowMs - startedMs > FILL_TIMEOUT_MS) break
            delay(POLL_MS)
        }
        while (
            fleet.tasksRunning() < options.targetTasks * FILLED_SHARE && time.nowMs - startedMs < FILL_TIMEOUT_MS
        ) delay(POLL_MS)
        filledInS = (time.nowMs - startedMs) / MS_PER_S
        printLine("${fleet.tasksRunning()} of ${options.targetTasks} tasks running after $filledInS s")
    }

    private suspend fun execute(scenario: Scenario): ScenarioResult {
        val seconds = options.scenarioSeconds ?: scenario.seconds
        val measurement = Window(this, scenario)
        window = measurement
        beginScenario(scenario, seconds, measurement)
        val until = measurement.startedAt + seconds * SECOND_MS
        while (time.nowMs < until) delay(POLL_MS)
        val metrics = controllers.map { metricsReader.read(it.identity) }
        window = null
        return measurement.result(metrics)
    }

    private fun leader(): ControllerProcess {
        val leadership = store.entry(Keys.LEADERSHIP)?.let { LeadershipRecord.decode(it.value, it.version) }
        return controllers.firstOrNull { it.identity.label == leadership?.leader?.label } ?: controllers[0]
    }

    private fun beginScenario(scenario: Scenario, seconds: Int, measurement: Window) {
        val leaseMs = (options.leaseS * MS_PER_S).toLong()
        if (scenario != Scenario.ORDINARY && scenario != Scenario.PEAK) measurement.faultAt = time.nowMs
        when (scenario) {
            Scenario.ORDINARY -> Unit
            Scenario.PEAK -> arrivals.submitPeak(maxOf(1, seconds / PEAK_DIVISOR))
            Scenario.LEADER_KILLED -> killAndRestart(listOf(leader()))
            Scenario.CONTROLLER_PAUSED -> pauseAndResume(leader(), leaseMs + leaseMs / 2)
            Scenario.ZONE_CUT -> network.cutZone(leader().identity.zone, leaseMs * 2)
            Scenario.REGIONS_APART -> network.cutRegions(Topology.HOME_REGION, 1, PARTITION_MS)
            Scenario.ALL_ENDED -> killAndRestart(controllers)
        }
    }

    private fun killAndRestart(processes: List<ControllerProcess>) {
        processes.forEach { it.kill() }
        time.after(RESTART_DELAY_MS) { processes.forEach { it.start() } }
    }

    private fun pauseAndResume(controller: ControllerProcess, forMs: Long) {
        controller.pause()
        time.after(forMs) { controller.resume() }
    }

    private fun problem(): String? {
        val ruleViolations = fleet.checker.ruleViolations
        val mostSockets = samples.flatMap { it.sockets }.maxOrNull() ?: 0
        return when {
            ruleViolations.isNotEmpty() -> "rules broken ${ruleViolations.size} times, first: ${ruleViolations.first()}"
            mostSockets > options.maxSockets -> "a controller held $mostSockets sockets of ${options.maxSockets}"
            fleet.starts == 0L -> "no task was started"
            else -> null
        }
    }

    fun report(problem: String?) = ScaleReport(
        options.workers, options.controllers, options.zones, options.regions, options.teams, options.seed,
        options.heapMb, filledInS, options.targetTasks, results, samples, problem,
    )

    override fun close() {
        sampler.stop()
        super.close()
    }

    private companion object {
        const val MS_PER_S = 1000.0
        const val SECOND_MS = 1_000L
        const val POLL_MS = 100L
        const val HEAD_START_MS = 2_000L
        const val RESTART_DELAY_MS = 5_000L
        const val PARTITION_MS = 60_000L
        const val PEAK_DIVISOR = 2
        const val MAX_PENDING_JOBS = 100
        const val FILLED_SHARE = 0.97
        const val FILL_TIMEOUT_MS = 240_000L
    }
}
