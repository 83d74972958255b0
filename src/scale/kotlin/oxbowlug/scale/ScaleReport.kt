package oxbowlug.scale

/** What one controller took during one scenario. [processorShare] is of one core. */
internal data class ControllerUse(
    val label: String,
    val zone: String,
    val leads: Boolean,
    val processorShare: Double,
    val residentMb: Double,
    val peakMb: Double,
    val sockets: Int,
    val longestPlanMs: Double,
    val longestStepMs: Double,
    val latestTickMs: Double,
)

/** What went over the workers' connections, each worker's share, and what was refused. */
internal data class ReportTraffic(
    val reportsPerS: Double,
    val upBytesPerWorkerS: Double,
    val downBytesPerWorkerS: Double,
    val directCommandsPerS: Double,
    val redirects: Long,
    val unavailable: Long,
    val failed: Long,
)

internal data class StateTraffic(
    val requestsPerS: Double,
    val changesPerS: Double,
    val readsPerS: Double,
    val watchesPerS: Double,
    val refused: Long,
    val entries: Int,
    val largestValueBytes: Int,
)

/** One scenario's figures. Durations without a unit in their name are milliseconds. */
internal data class ScenarioResult(
    val scenario: String,
    val title: String,
    val seconds: Double,
    val controllers: List<ControllerUse>,
    val reports: ReportTraffic,
    val state: StateTraffic,
    val cloudCallsPerS: Double,
    val peerBytesPerS: Double,
    val tasksRunning: Int,
    val startsAsked: Long,
    val startsPerS: Double,
    val mostStartsInASecond: Long,
    val urgentStart: DurationSummary,
    val acceptance: DurationSummary,
    val userAnswers: Map<Int, Long>,
    val allLeasesRenewedAfterMs: Long?,
    val longestWithoutRenewalMs: Long,
    val tasksLost: Int,
    val endedByThemselves: Int,
    val standInsProcessorShare: Double,
    val standInsLatestMs: Long,
    val rulesBroken: List<String>,
)

/** A point of the plots: each list has a value for each controller. */
internal data class Sample(
    val second: Double,
    val processorShares: List<Double>,
    val residentMb: List<Double>,
    val sockets: List<Int>,
    val tasksRunning: Int,
)

internal data class ScaleReport(
    val workers: Int,
    val controllers: Int,
    val zones: Int,
    val regions: Int,
    val teams: Int,
    val seed: Long,
    val heapMb: Int?,
    val filledInS: Double,
    val tasksWanted: Int,
    val scenarios: List<ScenarioResult>,
    val samples: List<Sample>,
    val problem: String?,
)
