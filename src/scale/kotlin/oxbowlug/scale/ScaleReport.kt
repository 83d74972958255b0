package oxbowlug.scale

/** One controller's resource usage during one scenario. [processorShare] is a fraction of one core. */
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

/** Traffic of the workers' connections: rates, bytes for each worker, and responses other than a renewal. */
internal data class ReportTraffic(
    val reportsPerS: Double,
    val upBytesPerWorkerS: Double,
    val downBytesPerWorkerS: Double,
    val directCommandsPerS: Double,
    val redirects: Long,
    val unavailable: Long,
    val failed: Long,
)

/** Traffic of the state service, and the size of what it stores at the end of the scenario. */
internal data class StateTraffic(
    val requestsPerS: Double,
    val changesPerS: Double,
    val readsPerS: Double,
    val watchesPerS: Double,
    val refused: Long,
    val entries: Int,
    val largestValueBytes: Int,
)

/** The results of one scenario. Durations without a unit in their name are in milliseconds. */
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

/** One point of the plots. Each list has one value for each controller. */
internal data class Sample(
    val second: Double,
    val processorShares: List<Double>,
    val residentMb: List<Double>,
    val sockets: List<Int>,
    val tasksRunning: Int,
)

/** The results of a run, written as JSON. [problem] is null if the run passed. */
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
