package oxbowlug.scale

import oxbowlug.standin.SimStore
import oxbowlug.wire.sizeAsJson

/** Counters at one moment, so that a scenario's figures are differences of two. */
internal class Counters(private val run: ScaleRun) {
    val atMs = run.time.nowMs
    private val traffic = run.traffic
    val reports = traffic.reports.messages
    val reportBytes = traffic.reports.bytes + traffic.directAnswers.bytes
    val answerBytes = traffic.reportAnswers.bytes + traffic.directCommands.bytes
    val directCommands = traffic.directCommands.messages
    val redirects = traffic.redirects
    val unavailable = traffic.unavailable
    val failed = traffic.failedReports
    val stateRequests = traffic.stateRequests
    val stateReads = traffic.stateReads
    val stateWatches = traffic.stateWatches
    val stateRefused = traffic.stateRefused
    val changes = run.store.writes
    val cloudCalls = traffic.cloudCalls
    val peerBytes = traffic.peerBytes.bytes
    val starts = run.fleet.starts
    val askedStarts = run.arrivals.askedStarts
    val lost = run.fleet.tasksLostWithLeases()
    val ended = run.controllers.sumOf { it.endedByItself }
    val ruleViolations = run.fleet.checker.ruleViolations.size
    val processor = run.controllers.map { it.cpuSeconds }
    val ownProcessor = ownProcessorSeconds()
    val userAnswers = HashMap(run.users.answers)

    private fun ownProcessorSeconds(): Double = ProcessHandle.current().info().totalCpuDuration()
        .map { it.toMillis() / MS }.orElse(0.0)

    private companion object {
        const val MS = 1000.0
    }
}

/** What happened between two moments of a run. */
internal class Window(private val run: ScaleRun, private val scenario: Scenario) {
    private val before = Counters(run)
    val startedAt: Long get() = before.atMs
    private var longestUnrenewedMs = 0L
    private var renewedAfterMs: Long? = null
    private var lastSecondStarts = before.starts
    private var mostStarts = 0L

    /** The moment of the failure, if the scenario has one. */
    var failedAt: Long? = null

    init {
        run.users.acceptance = Durations()
        run.fleet.urgentStart = Durations()
        run.clock.latestMs = 0
    }

    /** Called a few times a second. */
    fun look() {
        longestUnrenewedMs = maxOf(longestUnrenewedMs, run.fleet.longestWithoutRenewal())
        val since = failedAt ?: return
        if (renewedAfterMs == null && run.fleet.allRenewedSince(since)) renewedAfterMs = run.time.nowMs - since
    }

    fun everySecond() {
        mostStarts = maxOf(mostStarts, run.fleet.starts - lastSecondStarts)
        lastSecondStarts = run.fleet.starts
    }

    fun result(meters: List<ControllerMeters>): ScenarioResult {
        val after = Counters(run)
        val seconds = (after.atMs - before.atMs) / MS
        val perSecond = Rates(seconds)
        return ScenarioResult(
            scenario = scenario.wire,
            title = scenario.title,
            seconds = seconds,
            controllers = run.controllers.mapIndexed { index, controller ->
                use(controller, meters[index], (after.processor[index] - before.processor[index]) / seconds)
            },
            reports = reportTraffic(after, perSecond),
            state = stateTraffic(after, perSecond),
            cloudCallsPerS = perSecond.of(after.cloudCalls - before.cloudCalls),
            peerBytesPerS = perSecond.of(after.peerBytes - before.peerBytes),
            tasksRunning = run.fleet.tasksRunning(),
            startsAsked = after.askedStarts - before.askedStarts,
            startsPerS = perSecond.of(after.starts - before.starts),
            mostStartsInASecond = mostStarts,
            urgentStart = run.fleet.urgentStart.summary(),
            acceptance = run.users.acceptance.summary(),
            userAnswers = after.userAnswers.mapValues { (status, count) -> count - (before.userAnswers[status] ?: 0L) },
            allLeasesRenewedAfterMs = renewedAfterMs,
            longestWithoutRenewalMs = longestUnrenewedMs,
            tasksLost = after.lost - before.lost,
            endedByThemselves = after.ended - before.ended,
            standInsProcessorShare = (after.ownProcessor - before.ownProcessor) / seconds,
            standInsLatestMs = run.clock.latestMs,
            rulesBroken = run.fleet.checker.ruleViolations.drop(before.ruleViolations),
        )
    }

    private fun use(controller: ControllerProcess, meters: ControllerMeters, share: Double) = ControllerUse(
        label = controller.place.label,
        zone = controller.place.zone.value,
        leads = meters.isLeading,
        processorShare = share,
        residentMb = controller.latest.residentMb,
        peakMb = controller.latest.peakMb,
        sockets = controller.latest.sockets,
        longestPlanMs = meters.longestPlanMs,
        longestStepMs = meters.longestStepMs,
        latestTickMs = meters.latestTickMs,
    )

    private fun reportTraffic(after: Counters, perSecond: Rates): ReportTraffic {
        val workers = run.options.workers
        return ReportTraffic(
            reportsPerS = perSecond.of(after.reports - before.reports),
            upBytesPerWorkerS = perSecond.of(after.reportBytes - before.reportBytes) / workers,
            downBytesPerWorkerS = perSecond.of(after.answerBytes - before.answerBytes) / workers,
            directCommandsPerS = perSecond.of(after.directCommands - before.directCommands),
            redirects = after.redirects - before.redirects,
            unavailable = after.unavailable - before.unavailable,
            failed = after.failed - before.failed,
        )
    }

    private fun stateTraffic(after: Counters, perSecond: Rates): StateTraffic {
        val (entries, largest) = contents(run.store)
        return StateTraffic(
            requestsPerS = perSecond.of(after.stateRequests - before.stateRequests),
            changesPerS = perSecond.of(after.changes - before.changes),
            readsPerS = perSecond.of(after.stateReads - before.stateReads),
            watchesPerS = perSecond.of(after.stateWatches - before.stateWatches),
            refused = after.stateRefused - before.stateRefused,
            entries = entries,
            largestValueBytes = largest,
        )
    }

    private fun contents(store: SimStore): Pair<Int, Int> {
        val entries = store.read("", null, Int.MAX_VALUE).entries
        return entries.size to (entries.maxOfOrNull { it.value.sizeAsJson() } ?: 0)
    }

    private class Rates(private val seconds: Double) {
        fun of(count: Long): Double = if (seconds > 0) count / seconds else 0.0
    }

    private companion object {
        const val MS = 1000.0
    }
}
