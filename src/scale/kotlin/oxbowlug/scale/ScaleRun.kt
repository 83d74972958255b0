package oxbowlug.scale

import io.vertx.core.Vertx
import kotlinx.coroutines.delay
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.standin.VirtualTime

/** The stand-ins' time follows the real one; how far it fell behind says whether the stand-ins kept up. */
internal class RealTime(vertx: Vertx, private val time: VirtualTime) {
    private val beganNs = System.nanoTime()
    private var isAdvancing = false

    /** The longest that the stand-ins stood still, in milliseconds. */
    var latestMs = 0L

    @Volatile
    private var isStopped = false

    init {
        vertx.setPeriodic(STEP_MS) {
            follow()
        }
    }

    /**
     * Runs all that is due. What comes from outside after the stand-ins stood still must not be dated before what
     * happened meanwhile: a lease that ran out would look as if it were still in force.
     */
    fun follow() {
        if (isStopped || isAdvancing) return
        isAdvancing = true
        val now = (System.nanoTime() - beganNs) / NS_PER_MS
        latestMs = maxOf(latestMs, now - time.nowMs)
        time.advanceTo(now)
        isAdvancing = false
    }

    /** Nothing that is due runs any more: what it would use is being closed. */
    fun stop() {
        isStopped = true
    }

    private companion object {
        const val STEP_MS = 2L
        const val NS_PER_MS = 1_000_000L
    }
}

/** Plays its scenarios one after the other on the same fleet, and measures them. */
internal class ScaleRun(
    options: ScaleOptions,
    private val say: (String) -> Unit,
) : LoopbackRun(options, checksStored = false) {
    val arrivals = Arrivals(options, time, plan, fleet, users)
    private val sampler = Sampler(controllers)
    private val meters = MeterReader(vertx)
    private val samples = ArrayList<Sample>()
    private val results = ArrayList<ScenarioResult>()
    private var filledInS = 0.0
    private var window: Window? = null

    /** Runs on the event loop, which owns all state of the stand-ins. */
    suspend fun play(): ScaleReport {
        listen()
        fleet.boot()
        startControllers()
        sampler.start()
        users.start()
        val began = time.nowMs
        awaitHealthy()
        say("${controllers.size} controllers serve after ${(time.nowMs - began) / MS} s")
        checkMalformedReports()
        observe()
        fill()
        arrivals.begin()
        for (scenario in options.scenarios) {
            say("playing ${scenario.title}")
            results.add(play(scenario))
            say(ScenarioTable.headings.zip(ScenarioTable.cells(results.last())).joinToString { (h, c) -> "$h: $c" })
        }
        return report(problem())
    }

    /** The first a little before the others, so that it leads at first and runs are alike. */
    private suspend fun startControllers() {
        for ((index, controller) in controllers.withIndex()) {
            controller.start()
            if (index == 0) delay(HEAD_START_MS)
        }
    }

    /** Guards against a worker that sends nonsense: it is told so at once, by each controller. */
    private suspend fun checkMalformedReports() {
        for (controller in controllers) {
            val status = MalformedHeartbeat.send(vertx, controller.place)
            if (status !in MalformedHeartbeat.REFUSALS) {
                throw StartFailed("${controller.place.label} answers a malformed report with $status")
            }
        }
    }

    private fun observe() {
        time.every(LOOK_MS) { window?.look() }
        var processor = controllers.map { it.cpuSeconds }
        time.every(SECOND_MS) {
            fleet.checker.check(fleet.cloud.workers)
            controllers.forEach { it.keepUp() }
            window?.everySecond()
            val now = controllers.map { it.cpuSeconds }
            samples.add(
                Sample(
                    time.nowMs / MS, now.zip(processor) { after, before -> after - before },
                    controllers.map { it.latest.residentMb }, controllers.map { it.latest.sockets },
                    fleet.tasksRunning(),
                ),
            )
            processor = now
        }
    }

    /** Submits the standing services as fast as they are accepted, until nearly all of their tasks run. */
    private suspend fun fill() {
        val began = time.nowMs
        val jobs = ArrayDeque(plan.standingJobs())
        var open = 0
        while (jobs.isNotEmpty() || open > 0) {
            while (open < FILL_AT_ONCE && jobs.isNotEmpty()) {
                open++
                arrivals.submit(jobs.removeFirst()) { open-- }
            }
            if (time.nowMs - began > FILL_MS) break
            delay(LOOK_MS)
        }
        while (fleet.tasksRunning() < options.targetTasks * FILLED && time.nowMs - began < FILL_MS) delay(LOOK_MS)
        filledInS = (time.nowMs - began) / MS
        say("${fleet.tasksRunning()} of ${options.targetTasks} tasks run after $filledInS s")
    }

    private suspend fun play(scenario: Scenario): ScenarioResult {
        val seconds = options.scenarioSeconds ?: scenario.seconds
        val opened = Window(this, scenario)
        window = opened
        bringAbout(scenario, seconds, opened)
        val until = opened.startedAt + seconds * SECOND_MS
        while (time.nowMs < until) delay(LOOK_MS)
        val read = controllers.map { meters.read(it.place) }
        window = null
        return opened.result(read)
    }

    private fun leader(): ControllerProcess {
        val view = store.entry(Keys.LEADERSHIP)?.let { LeadershipRecord.decode(it.value, it.version) }
        return controllers.firstOrNull { it.place.label == view?.leader?.label } ?: controllers[0]
    }

    private fun bringAbout(scenario: Scenario, seconds: Int, opened: Window) {
        val leaseMs = (options.leaseS * MS).toLong()
        if (scenario != Scenario.ORDINARY && scenario != Scenario.PEAK) opened.failedAt = time.nowMs
        when (scenario) {
            Scenario.ORDINARY -> Unit
            Scenario.PEAK -> arrivals.peak(maxOf(1, seconds / PEAK_PART))
            Scenario.LEADER_KILLED -> endAndRestart(listOf(leader()))
            Scenario.CONTROLLER_PAUSED -> pause(leader(), leaseMs + leaseMs / 2)
            Scenario.ZONE_CUT -> network.cutZone(leader().place.zone, leaseMs * 2)
            Scenario.REGIONS_APART -> network.cutRegions(Topology.HOME_REGION, 1, APART_MS)
            Scenario.ALL_ENDED -> endAndRestart(controllers)
        }
    }

    private fun endAndRestart(which: List<ControllerProcess>) {
        which.forEach { it.kill() }
        time.after(RESTART_MS) { which.forEach { it.start() } }
    }

    private fun pause(controller: ControllerProcess, forMs: Long) {
        controller.pause()
        time.after(forMs) { controller.resume() }
    }

    private fun problem(): String? {
        val ruleViolations = fleet.checker.ruleViolations
        val crowded = samples.flatMap { it.sockets }.maxOrNull() ?: 0
        return when {
            ruleViolations.isNotEmpty() -> "${ruleViolations.size} times a rule was broken, first: ${ruleViolations.first()}"
            crowded > options.maxSockets -> "a controller held $crowded sockets of ${options.maxSockets}"
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
        const val MS = 1000.0
        const val SECOND_MS = 1_000L
        const val LOOK_MS = 100L
        const val HEAD_START_MS = 2_000L
        const val RESTART_MS = 5_000L
        const val APART_MS = 60_000L
        const val PEAK_PART = 2
        const val FILL_AT_ONCE = 100
        const val FILLED = 0.97
        const val FILL_MS = 240_000L
    }
}
