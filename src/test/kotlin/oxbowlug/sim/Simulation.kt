package oxbowlug.sim

import oxbowlug.config.Address
import oxbowlug.config.CloudSettings
import oxbowlug.config.LimitSettings
import oxbowlug.config.Objective
import oxbowlug.config.Peer
import oxbowlug.config.Policy
import oxbowlug.config.Settings
import oxbowlug.config.StateSettings
import oxbowlug.config.Team
import oxbowlug.config.WorkerSettings
import oxbowlug.config.WriteLimits
import oxbowlug.controller.ControllerEvent
import oxbowlug.record.Keys
import oxbowlug.request.UserResponse
import oxbowlug.standin.HeartbeatPacing
import oxbowlug.standin.InvariantChecker
import oxbowlug.standin.RequestRepeats
import oxbowlug.standin.SimCloud
import oxbowlug.standin.SimJobs
import oxbowlug.standin.SimStore
import oxbowlug.standin.SimWorker
import oxbowlug.standin.VirtualTime
import oxbowlug.standin.isAttemptStored
import oxbowlug.wire.AttemptId
import oxbowlug.wire.ClassName
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.Priority
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone

/** Size and settings of the simulated deployment. */
internal data class SimulationParameters(
    val nodes: Int = 3,
    val initialMachines: Int = 4,
    /** Most machines that the cloud provides at a time. */
    val capacity: Int = 12,
    val teamLimits: Map<String, Double> = mapOf("red" to 24.0, "blue" to 16.0),
    val teamGuarantee: Double = 8.0,
    val writeRps: Double = 40.0,
    /** Limits that the state service will apply later, as announced in the controllers' settings. */
    val nextLimits: WriteLimits? = null,
    val initialJobs: Int = 0,
    /** Largest number of tasks of a random service and of a random array. */
    val maxServiceTasks: Int = 4,
    val maxArrayTasks: Int = 8,
    /** A user cancels a service this long after its submission. */
    val serviceDurationMs: LongRange = 15_000L..60_000L,
    /** Least time between two checks of the rules: 0 checks after every event, which is too slow for large fleets. */
    val checkIntervalMs: Long = 0,
    val heartbeatIntervalMs: Long = 1000,
    val leaseMs: Long = 10_000,
    /** Controllers and initial machines are assigned to the zones round-robin. */
    val zones: List<String> = listOf("a", "b"),
    /** From this time on no fault is active, and [ProgressChecks] checks that jobs make progress. */
    val faultFreeFromMs: Long = 125_000,
    /** Workers pace their heartbeats as the published protocol specifies, instead of at a fixed interval. */
    val hasProtocolPacing: Boolean = false,
    /** Length of the state service's history of changes: a client that asks for older ones has to resync in full. */
    val retainedChanges: Int = 10_000,
    val objectives: List<Objective> = emptyList(),
)

/**
 * Controllers, a cloud, workers, a state service and users on virtual time. All random numbers come from one seed, so a
 * run is reproducible as long as they are drawn in the same order.
 */
internal class Simulation(
    seed: Long,
    private val policy: Policy = Policy(),
    private val parameters: SimulationParameters = SimulationParameters(),
) : SimJobs {
    val time = VirtualTime(seed)
    private val pacing =
        parameters.heartbeatIntervalMs.let {
            if (parameters.hasProtocolPacing) HeartbeatPacing.Protocol(it) else HeartbeatPacing.Fixed(it)
        }

    /** Called with each heartbeat that a worker sends. */
    var onHeartbeatSent: (WorkerHeartbeat) -> Unit = {}
    val activeFaults = ActiveFaults()
    val repeats = RequestRepeats(time, seed)
    val zones = parameters.zones.map(::Zone)
    private val types =
        listOf(
            MachineType(TypeName("g8"), 64.0, 8.0, 256.0, 200.0, 2.0, 20.0, 8.0, 8.0, zones),
            MachineType(TypeName("c32"), 32.0, 0.0, 128.0, 35.0, 0.5, 1.2, 0.5, 5.0, zones),
        )
    val store = SimStore(time, parameters.retainedChanges)
    val cloud = SimCloud(time, types, parameters.capacity, LIST_LAG_MS, ::createWorker)

    /** Boot time of rented machines instead of their types' boot time; null for the types' boot time. */
    var bootMs: Long? by cloud::bootMs
    val checker = InvariantChecker(time, parameters.teamLimits, CANCEL_DEADLINE_MS, store::isAttemptStored)
    val progressChecks =
        ProgressChecks(time, checker, { cloud.workers }, parameters.teamLimits, parameters.faultFreeFromMs)
    val nodes: List<SimNode> =
        List(parameters.nodes) { index ->
            SimNode(time, settings(index), store, cloud, activeFaults, repeats, ::workerAt, ::peers)
        }
    private val runMs = HashMap<String, Long>()
    private var submittedCount = 0

    init {
        for (index in 0 until parameters.initialMachines) {
            cloud.add(MachineId("host-9%05d".format(index)), types[0], zones[index % zones.size], false, 1000L)
        }
        var nextCheckAt = 0L
        time.afterEvent = {
            if (time.nowMs >= nextCheckAt) {
                nextCheckAt = time.nowMs + parameters.checkIntervalMs
                checker.check(cloud.workers)
            }
        }
        for (node in nodes) time.after(time.between(0, 300)) { node.start() }
        time.every(100) { replayHeldHeartbeats() }
        time.every(1_000) { checker.checkStored(cloud.workers) }
        progressChecks.startPeriodicChecks()
        repeat(parameters.initialJobs) {
            time.after(time.between(2_000, 6_000)) { submitNext() }
        }
    }

    /** Records in [trace] all messages that the controllers send and all responses that users get. */
    fun trace(trace: PortTrace) {
        userTrace = trace
        for (node in nodes) node.trace = trace
    }

    private var userTrace: PortTrace? = null

    private fun peers() = nodes

    private fun workerAt(address: Address) = cloud.at(address.toString())

    private fun createWorker(
        id: MachineId,
        type: MachineType,
        zone: Zone,
        spot: Boolean,
    ) = SimWorker(time, this, { nodes }, id, type, zone, spot, parameters.leaseMs, pacing, ::injectDuplicates)
        .also { it.onDirectCommandsExecuted = repeats::onExecuted }

    /** Heartbeats to deliver again after the next change of leader. */
    private val heldHeartbeats = ArrayList<WorkerHeartbeat>()
    private var lastLeaderToken: Any? = null

    private fun injectDuplicates(heartbeat: WorkerHeartbeat) {
        onHeartbeatSent(heartbeat)
        if (time.chance(activeFaults.duplicateHeartbeats)) {
            time.after(time.between(2_000, parameters.leaseMs * 2)) {
                nodes[time.random.nextInt(nodes.size)].receive(heartbeat) {}
            }
        }
        if (time.chance(activeFaults.heartbeatsForNextLeader)) heldHeartbeats.add(heartbeat)
    }

    /** Delivers the held heartbeats to every controller, within 1 s of a change of leader. */
    private fun replayHeldHeartbeats() {
        val currentToken = store.entry(Keys.LEADERSHIP)?.value?.get("token")
        if (currentToken == lastLeaderToken) return
        lastLeaderToken = currentToken
        for (heartbeat in heldHeartbeats) {
            for (node in nodes) time.after(time.between(0, 1_000)) { node.receive(heartbeat) {} }
        }
        heldHeartbeats.clear()
    }

    override fun spec(job: String): JobSpec? = checker.jobs[job]?.spec

    override fun runMs(job: String): Long = runMs.getValue(job)

    override fun onStarted(
        machine: SimWorker,
        attempt: AttemptId,
    ) = checker.started(machine, attempt)

    /**
     * Probability that a user cancels a job within 400 ms of the completion of one of its tasks. With the last task the
     * cancellation races with the completion of the job.
     */
    var cancelAtTaskEndProbability = 0.0

    /** Called when a task is done. */
    var onTaskDone: () -> Unit = {}

    override fun onDone(attempt: AttemptId) {
        checker.done(attempt)
        onTaskDone()
        val id = attempt.task.job.value
        if (time.chance(cancelAtTaskEndProbability)) time.after(time.between(0, 400)) { cancel(id) }
    }

    private fun settings(index: Int) =
        Settings(
            label = "n$index",
            zone = zones[index % zones.size],
            clientListen = Address("127.0.0.1", 8080),
            peerListen = Address("127.0.0.1", 8081),
            peers =
                (0 until parameters.nodes).filter { it != index }.map { other ->
                    Peer("n$other", zones[other % zones.size], Address("127.0.0.1", 8081))
                },
            cloudAddress = Address("127.0.0.1", 8443),
            stateAddress = Address("127.0.0.1", 2379),
            zones = zones,
            maxClockSkewMs = 100.0,
            teams =
                parameters.teamLimits
                    .map { (name, limit) ->
                        Team(TeamName(name), 0.0, Double.POSITIVE_INFINITY, parameters.teamGuarantee, limit)
                    }.associateBy { it.name },
            objectives = parameters.objectives,
            workers =
                WorkerSettings(
                    parameters.heartbeatIntervalMs / 1000.0,
                    parameters.leaseMs / 1000.0,
                    CANCEL_DEADLINE_MS / 1000.0,
                ),
            state =
                StateSettings(
                    parameters.writeRps * 12.0,
                    WriteLimits(parameters.writeRps, 16.0, 12),
                    parameters.nextLimits,
                ),
            cloud = CloudSettings(4.0, LIST_LAG_MS / 1000.0),
            limits = LimitSettings(150.0, 600),
            policy = policy,
        )

    /**
     * Submits random jobs until [untilMs], [everyMs] apart give or take half of it. Users poll each job until it is
     * over and cancel a service after [SimulationParameters.serviceDurationMs].
     */
    fun submitRandomJobs(
        everyMs: Long,
        untilMs: Long,
    ) {
        time.after(time.between(everyMs / 2, everyMs * 3 / 2)) {
            if (time.nowMs < untilMs) {
                submitNext()
                submitRandomJobs(everyMs, untilMs)
            }
        }
    }

    private var pipelineCount = 0

    /**
     * Submits pipelines of four jobs until [untilMs], [everyMs] apart give or take half of it: a first stage, two that
     * depend on it, and a last one with a deadline that depends on all three. A stage is submitted as soon as its
     * dependencies are accepted; one last stage in five is submitted after 30 s at the earliest. With
     * [cancelProbability] a user cancels one of a pipeline's jobs.
     */
    fun submitPipelines(
        everyMs: Long,
        untilMs: Long,
        cancelProbability: Double = 0.2,
    ) {
        time.after(time.between(everyMs / 2, everyMs * 3 / 2)) {
            if (time.nowMs < untilMs) {
                submitPipeline("pipe-%04d".format(pipelineCount++), cancelProbability)
                submitPipelines(everyMs, untilMs, cancelProbability)
            }
        }
    }

    private fun submitPipeline(
        name: String,
        cancelProbability: Double,
    ) {
        val first = stage("$name-a")
        val second = listOf("b", "c").map { stage("$name-$it", first) }
        val last = stage("$name-d", first, *second.toTypedArray()).copy(deadlineS = 60.0, priority = Priority.HIGH)
        val stages = listOf(first) + second + last
        submit(first)
        for (next in second) submitAfterDependencies(next)
        if (time.chance(0.2)) time.after(30_000) { submitAfterDependencies(last) } else submitAfterDependencies(last)
        if (time.chance(cancelProbability)) {
            val cancelledJob = stages[time.random.nextInt(stages.size)].id.value
            time.after(time.between(500, 25_000)) {
                if (checker.jobs[cancelledJob]?.accepted == true) cancel(cancelledJob)
            }
        }
    }

    /**
     * A pipeline stage: short tasks without GPUs. Only a few of them fit on a machine, so a stage runs on many machines
     * and its stored record is long.
     */
    fun stage(
        id: String,
        vararg dependencies: JobSpec,
    ): JobSpec =
        randomSpec(id).copy(
            className = ClassName("stage"),
            kind = JobKind.ARRAY,
            priority = Priority.LOW,
            tasks = 1 + time.random.nextInt(12),
            cores = 16.0,
            gpus = 0.0,
            types = null,
            zone = null,
            spread = false,
            oneZone = false,
            spot = true,
            runEstimateS = 4.0,
            deadlineS = null,
            dependsOn = dependencies.map { it.id },
        )

    private fun submitAfterDependencies(spec: JobSpec) {
        if (spec.dependsOn.all {
                checker.jobs[it.value]?.accepted == true
            }
        ) {
            submit(spec)
        } else {
            time.after(50) { submitAfterDependencies(spec) }
        }
    }

    private fun submitNext() = submit(randomSpec("run-%06d".format(submittedCount++)))

    fun submit(
        spec: JobSpec,
        taskMs: Long = time.between(2_000, 15_000),
    ) {
        val id = spec.id.value
        checker.jobs[id] = InvariantChecker.Known(spec)
        runMs[id] = taskMs
        trySubmit(spec)
        if (spec.kind == JobKind.SERVICE) {
            time.after(
                time.between(parameters.serviceDurationMs.first, parameters.serviceDurationMs.last),
            ) { cancel(id) }
        }
    }

    private fun trySubmit(spec: JobSpec) {
        val id = spec.id.value
        val requestedAtMs = time.nowMs
        sendRequest({ answer -> ControllerEvent.Submit(spec, answer) }) { answer ->
            if (answer != null) checker.observed(id, answer, requestedAtMs)
            if (answer is UserResponse.Accepted || answer is UserResponse.Known) sendFollowUps(spec)
            when (answer) {
                is UserResponse.Accepted, is UserResponse.Known -> poll(id)
                else -> time.after(1000) { trySubmit(spec) }
            }
        }
    }

    private fun poll(id: String) {
        time.after(time.between(1500, 2500)) {
            val requestedAtMs = time.nowMs
            sendRequest({ answer -> ControllerEvent.Poll(JobId(id), answer) }) { answer ->
                if (answer != null) checker.observed(id, answer, requestedAtMs)
                val state = checker.jobs.getValue(id).observed
                val isFinal = state == oxbowlug.wire.JobState.DONE || state == oxbowlug.wire.JobState.CANCELLED
                if (isFinal) checker.jobs[id]?.let { sendFollowUps(it.spec) }
                // With probability 0.5 the user polls a finished job again 20 s later.
                if (!isFinal) {
                    poll(id)
                } else if (time.chance(0.5)) {
                    time.after(20_000) { poll(id) }
                }
            }
        }
    }

    fun cancel(id: String) {
        val job = checker.jobs.getValue(id)
        job.cancelRequested = true
        val requestedAtMs = time.nowMs
        sendRequest({ answer -> ControllerEvent.Cancel(JobId(id), answer) }) { answer ->
            if (answer != null) checker.observed(id, answer, requestedAtMs)
            if (answer is UserResponse.Known) sendFollowUps(job.spec)
            if (answer !is UserResponse.Known && job.accepted) time.after(1000) { cancel(id) }
        }
    }

    /** Sends one cancellation request to [node], without a retry. */
    fun cancelThrough(
        node: SimNode,
        id: String,
        onAnswered: () -> Unit = {},
    ) {
        checker.jobs.getValue(id).cancelRequested = true
        val requestedAtMs = time.nowMs
        val onResponse: (UserResponse) -> Unit = {
            checker.observed(id, it, requestedAtMs)
            onAnswered()
        }
        node.sendRequest(ControllerEvent.Cancel(JobId(id), onResponse))
    }

    val leader: SimNode
        get() {
            val label = store.entry(Keys.LEADERSHIP)?.value?.get("leader")
            return nodes.first { it.label == label }
        }

    /** Sends one poll for [id], without a retry. */
    fun pollOnce(
        id: String,
        onResponse: (UserResponse?) -> Unit,
    ) = sendRequest({ ControllerEvent.Poll(JobId(id), it) }, onResponse)

    /**
     * Probability that users follow up a response: within 110 ms they send three requests for the job, polls and
     * repeated submissions, to every controller. One follow-up in ten also cancels the job.
     */
    var followUpProbability = 0.0

    private fun sendFollowUps(spec: JobSpec) {
        if (!time.chance(followUpProbability)) return
        val id = spec.id.value
        repeat(3) { round ->
            for (node in nodes) {
                time.after(time.between(0, 30) + round * 40L) {
                    val requestedAtMs = time.nowMs
                    val onResponse: (UserResponse) -> Unit = { checker.observed(id, it, requestedAtMs) }
                    node.sendRequest(
                        if (time.chance(
                                0.7,
                            )
                        ) {
                            ControllerEvent.Poll(spec.id, onResponse)
                        } else {
                            ControllerEvent.Submit(spec, onResponse)
                        },
                    )
                }
            }
        }
        if (time.chance(0.1)) cancel(id)
    }

    /** Sends a request to a random reachable controller; [onResponse] gets null after 5 s without a response. */
    private fun sendRequest(
        command: ((UserResponse) -> Unit) -> ControllerEvent,
        onResponse: (UserResponse?) -> Unit,
    ) {
        val up = nodes.filter { it.isUp && !it.isUnreachableByUsers }
        var answered = false
        val reply: (UserResponse?) -> Unit = { answer ->
            if (!answered) {
                answered = true
                userTrace?.userResponse(time.nowMs, answer)
                onResponse(answer)
            }
        }
        if (up.isNotEmpty()) up[time.random.nextInt(up.size)].sendRequest(command { reply(it) })
        time.after(5000) { reply(null) }
    }

    fun randomSpec(id: String): JobSpec {
        val isService = time.chance(0.5)
        val needsGpu = time.chance(0.7)
        return JobSpec(
            id = JobId(id),
            className = ClassName(if (isService) "serving" else "nightly"),
            team = TeamName(if (time.chance(0.5)) "red" else "blue"),
            kind = if (isService) JobKind.SERVICE else JobKind.ARRAY,
            priority = if (isService) Priority.entries[time.random.nextInt(2)] else Priority.NORMAL,
            tasks = 1 + time.random.nextInt(if (isService) parameters.maxServiceTasks else parameters.maxArrayTasks),
            cores = 4.0,
            gpus = if (needsGpu) 1.0 + time.random.nextInt(2) else 0.0,
            memoryGb = 16.0,
            image = ImageName("img-${time.random.nextInt(4)}"),
            imageGb = 2.0,
            types = if (time.chance(0.3)) listOf(TypeName("g8")) else null,
            zone = if (time.chance(0.1)) zones[time.random.nextInt(zones.size)] else null,
            oneZone = false,
            spread = false,
            spot = !isService,
            runEstimateS = if (isService) 0.0 else 8.0,
            checkpointS = if (isService) 0.0 else 3.0,
            saveS = if (isService) 0.0 else 1.0,
            deadlineS = if (isService) null else 60.0,
        ).let { spec ->
            when (time.random.nextInt(4)) {
                0 -> spec.copy(spread = true, zone = null)
                1 -> spec.copy(oneZone = true)
                else -> spec
            }
        }
    }

    fun randomWorker(): SimWorker? = cloud.workers.takeIf { it.isNotEmpty() }?.let { it[time.random.nextInt(it.size)] }

    fun run(untilMs: Long) = time.runUntil(untilMs)

    companion object {
        const val CANCEL_DEADLINE_MS = 30_000L
        private const val LIST_LAG_MS = 3_000L
    }
}
