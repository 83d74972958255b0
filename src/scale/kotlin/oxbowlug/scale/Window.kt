package oxbowlug.scale

import oxbowlug.standin.SimStore
import oxbowlug.wire.sizeAsJson

/** All counters at one time; a scenario's figures are the differences between two such snapshots. */
internal class Counters(private val run: ScaleRun) {
    val atMs = run.time.nowMs
    private val traffic = run.traffic
    val reports = traffic.reports.messages
    val reportBytes = traffic.reports.bytes + traffic.directResponses.bytes
    val responseBytes = traffic.heartbeatResponses.bytes + traffic.directCommands.bytes
    val directCommands = traffic.directCommands.messages
    val redirects = traffic.redirects
    val unavailable = traffic.unavailable
    val failed = traffic.failedHeartbeats
    val stateRequests = traffic.stateRequests
    val stateReads = traffic.stateReads
    val stateWatches = traffic.stateWatches
    val stateRefused = traffic.stateRefused
    val changes = run.store.writes
    val cloudCalls = traffic.cloudCalls
    val peerBytes = traffic.peerBytes.bytes
    val starts = run.fleet.starts
    val requestedStarts = run.arrivals.requestedStarts
    val lostTasks = run.fleet.tasksLostWithLeases()
    val unexpectedExitCount = run.controllers.sumOf { it.unexpectedExits }
    val brokenRules = run.fleet.checker.ruleViolations.size
    val controllerCpuSeconds = run.controllers.map { it.cpuSeconds }
    val standInCpuSeconds = currentProcessCpuSeconds()
    val userAnswers = HashMap(run.users.answers)

    private fun currentProcessCpuSeconds(): Double = ProcessHandle.current().info().totalCpuDuration()
        .map { it.toMillis() / MS_PER_S }.orElse(0.0)

    private companion object {
        const val MS_PER_S = 1000.0
    }
}

/** Measures one scenario, from construction until [result]. */
internal class Window(private val run: ScaleRun, private val scenario: Scenario) {
    private val before = Counters(run)
    val startedAt: Long get() = before.atMs
    private var longestUnrenewedMs = 0L
    private var renewedAfterMs: Long? = null
    private var startsAtLastSecond = before.starts
    private var maxStartsPerSecond = 0L

    /** When the scenario's fault was injected; null if it injects none. */
    var faultAt: Long? = null

    init {
        run.users.acceptance = Durations()
        run.fleet.urgentStart = Durations()
        run.clock.maxLagMs = 0
    }

    /** Samples the lease renewals; called ten times a second. */
    fun pollLeases() {
        longestUnrenewedMs = maxOf(longestUnrenewedMs, run.fleet.longestWithoutRenewal())
        val since = faultAt ?: return
        if (renewedAfterMs == null && run.fleet.allRenewedSince(since)) renewedAfterMs = run.time.nowMs - since
    }

    fun recordSecond() {
        maxStartsPerSecond = maxOf(maxStartsPerSecond, run.fleet.starts - startsAtLastSecond)
        startsAtLastSecond = run.fleet.starts
    }

    fun result(metrics: List<ControllerMetrics>): ScenarioResult {
        val after = Counters(run)
        val seconds = (after.atMs - before.atMs) / MS_PER_S
        val perSecond = Rates(seconds)
        return ScenarioResult(
            scenario = scenario.wire,
            title = scenario.title,
            seconds = seconds,
            controllers = run.controllers.mapIndexed { index, controller ->
                controllerUse(
                    controller, metrics[index],
                    (after.controllerCpuSeconds[index] - before.controllerCpuSeconds[index]) / seconds,
                )
            },
            reports = reportTraffic(after, perSecond),
            state = stateTraffic(after, perSecond),
            cloudCallsPerS = perSecond.rate(after.cloudCalls - before.cloudCalls),
            peerBytesPerS = perSecond.rate(after.peerBytes - before.peerBytes),
            tasksRunning = run.fleet.tasksRunning(),
            startsAsked = after.requestedStarts - before.requestedStarts,
            startsPerS = perSecond.rate(after.starts - before.starts),
            mostStartsInASecond = maxStartsPerSecond,
            urgentStart = run.fleet.urgentStart.summary(),
            acceptance = run.users.acceptance.summary(),
            userAnswers = after.userAnswers.mapValues { (status, count) -> count - (before.userAnswers[status] ?: 0L) },
            allLeasesRenewedAfterMs = renewedAfterMs,
            longestWithoutRenewalMs = longestUnrenewedMs,
            tasksLost = after.lostTasks - before.lostTasks,
            endedByThemselves = after.unexpectedExitCount - before.unexpectedExitCount,
            standInsProcessorShare = (after.standInCpuSeconds - before.standInCpuSeconds) / seconds,
            standInsLatestMs = run.clock.maxLagMs,
            rulesBroken = run.fleet.checker.ruleViolations.drop(before.brokenRules),
        )
    }

    private fun controllerUse(controller: ControllerProcess, metrics: ControllerMetrics, share: Double) = ControllerUse(
        label = controller.identity.label,
        zone = controller.identity.zone.value,
        leads = metrics.isLeading,
        processorShare = share,
        residentMb = controller.latestSample.residentMb,
        peakMb = controller.latestSample.peakMb,
        sockets = controller.latestSample.sockets,
        longestPlanMs = metrics.longestPlanMs,
        longestStepMs = metrics.longestStepMs,
        latestTickMs = metrics.latestTickMs,
    )

    private fun reportTraffic(after: Counters, perSecond: Rates): ReportTraffic {
        val workers = run.options.workers
        return ReportTraffic(
            reportsPerS = perSecond.rate(after.reports - before.reports),
            upBytesPerWorkerS = perSecond.rate(after.reportBytes - before.reportBytes) / workers,
            downBytesPerWorkerS = perSecond.rate(after.responseBytes - before.responseBytes) / workers,
            directCommandsPerS = perSecond.rate(after.directCommands - before.directCommands),
            redirects = after.redirects - before.redirects,
            unavailable = after.unavailable - before.unavailable,
            failed = after.failed - before.failed,
        )
    }

    private fun stateTraffic(after: Counters, perSecond: Rates): StateTraffic {
        val (entries, largestValue) = contents(run.store)
        return StateTraffic(
            requestsPerS = perSecond.rate(after.stateRequests - before.stateRequests),
            changesPerS = perSecond.rate(after.changes - before.changes),
            readsPerS = perSecond.rate(after.stateReads - before.stateReads),
            watchesPerS = perSecond.rate(after.stateWatches - before.stateWatches),
            refused = after.stateRefused - before.stateRefused,
            entries = entries,
            largestValueBytes = largestValue,
        )
    }

    private fun contents(store: SimStore): Pair<Int, Int> {
        val entries = store.read("", null, Int.MAX_VALUE).entries
        return entries.size to (entries.maxOfOrNull { it.value.sizeAsJson() } ?: 0)
    }

    private class Rates(private val seconds: Double) {
        fun rate(count: Long): Double = if (seconds > 0) count / seconds else 0.0
    }

    private companion object {
        const val MS_PER_S = 1000.0
    }
}
