package oxbowlug.sim

import oxbowlug.config.Address
import oxbowlug.config.CloudSettings
import oxbowlug.config.LimitSettings
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
import oxbowlug.standin.SimJobs
import oxbowlug.standin.InvariantChecker
import oxbowlug.standin.SimCloud
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

/** How large a deployment is played. */
internal data class Shape(
    val nodes: Int = 3,
    val machinesUp: Int = 4,
    val capacity: Int = 12,
    val teamLimits: Map<String, Double> = mapOf("red" to 24.0, "blue" to 16.0),
    val teamGuarantee: Double = 8.0,
    val writeRps: Double = 40.0,
    /** What the state service is going to take, as the settings say. */
    val nextLimits: WriteLimits? = null,
    val jobsAtStart: Int = 0,
    /** Tasks of the largest service and of the largest array. */
    val largestService: Int = 4,
    val largestArray: Int = 8,
    val serviceMs: LongRange = 15_000L..60_000L,
    /** The rules are checked after every event, or at this interval where that would take too long. */
    val checkEveryMs: Long = 0,
    val reportMs: Long = 1000,
    val leaseMs: Long = 10_000,
    /** Controllers and machines are shared out among them in turn. */
    val zones: List<String> = listOf("a", "b"),
    /** From then on all troubles are over. */
    val calmFromMs: Long = 125_000,
    /** So many changes the state service keeps; who asks for older ones has to read everything again. */
    val keptChanges: Int = 10_000,
)

/** Controllers, a cloud, workers, a state service and users, on virtual time with one seed. */
internal class Simulation(
    seed: Long,
    private val policy: Policy = Policy(),
    private val shape: Shape = Shape(),
) : SimJobs {
    val time = VirtualTime(seed)
    private val pacing = HeartbeatPacing.Fixed(shape.reportMs)
    val weather = Weather()
    val zones = shape.zones.map(::Zone)
    private val types =
        listOf(
            MachineType(TypeName("g8"), 64.0, 8.0, 256.0, 200.0, 2.0, 20.0, 8.0, 8.0, zones),
            MachineType(TypeName("c32"), 32.0, 0.0, 128.0, 35.0, 0.5, 1.2, 0.5, 5.0, zones),
        )
    val store = SimStore(time, shape.keptChanges)
    val cloud = SimCloud(time, types, shape.capacity, LIST_LAG_MS, ::makeWorker)

    /** Machines are up after this long instead of their types' time. */
    var bootMs: Long? by cloud::bootMs
    val checker = InvariantChecker(time, shape.teamLimits, CANCEL_MS, store::isAttemptStored)
    val serving = Serving(time, checker, { cloud.workers }, shape.teamLimits, shape.calmFromMs)
    val nodes: List<SimNode> =
        List(shape.nodes) { index ->
            SimNode(time, settings(index), store, cloud, weather, ::byEndpoint, ::peers)
        }
    private val runMs = HashMap<String, Long>()
    private var submitted = 0

    init {
        for (index in 0 until shape.machinesUp) {
            cloud.add(MachineId("host-9%05d".format(index)), types[0], zones[index % zones.size], false, 1000L)
        }
        var nextCheckAt = 0L
        time.afterEvent = {
            if (time.nowMs >= nextCheckAt) {
                nextCheckAt = time.nowMs + shape.checkEveryMs
                checker.check(cloud.workers)
            }
        }
        for (node in nodes) time.after(time.between(0, 300)) { node.start() }
        time.every(100) { bringKept() }
        time.every(1_000) { checker.checkStored(cloud.workers) }
        serving.watch()
        repeat(shape.jobsAtStart) {
            time.after(time.between(2_000, 6_000)) { submitNext() }
        }
    }

    /** From the first moment on [trace] is told of all that leaves the controllers and of all that users are told. */
    fun trace(trace: PortTrace) {
        userTrace = trace
        for (node in nodes) node.trace = trace
    }

    private var userTrace: PortTrace? = null

    private fun peers() = nodes

    private fun byEndpoint(address: Address) = cloud.at(address.toString())

    private fun makeWorker(
        id: MachineId,
        type: MachineType,
        zone: Zone,
        spot: Boolean,
    ) = SimWorker(time, this, { nodes }, id, type, zone, spot, shape.leaseMs, pacing, ::copied)

    private val kept = ArrayList<WorkerHeartbeat>()
    private var lastLeader: Any? = null

    private fun copied(report: WorkerHeartbeat) {
        if (time.chance(weather.lateReports)) {
            time.after(time.between(2_000, shape.leaseMs * 2)) {
                nodes[time.random.nextInt(nodes.size)].receive(report) {}
            }
        }
        if (time.chance(weather.reportsForNext)) kept.add(report)
    }

    /** Old reports reach every controller just as another one begins to lead. */
    private fun bringKept() {
        val present = store.entry(Keys.LEADERSHIP)?.value?.get("token")
        if (present == lastLeader) return
        lastLeader = present
        for (report in kept) {
            for (node in nodes) time.after(time.between(0, 1_000)) { node.receive(report) {} }
        }
        kept.clear()
    }

    override fun spec(job: String): JobSpec? = checker.jobs[job]?.spec

    override fun runMs(job: String): Long = runMs.getValue(job)

    override fun onStarted(
        machine: SimWorker,
        attempt: AttemptId,
    ) = checker.started(machine, attempt)

    /** Share of the tasks' ends at which the job is called off in the same moment, the last ones above all. */
    var cancelsAtEnd = 0.0

    /** Told of each task's end. */
    var onAnyDone: () -> Unit = {}

    override fun onDone(attempt: AttemptId) {
        checker.done(attempt)
        onAnyDone()
        val id = attempt.task.job.value
        if (time.chance(cancelsAtEnd)) time.after(time.between(0, 400)) { cancel(id) }
    }

    private fun settings(index: Int) =
        Settings(
            label = "n$index",
            zone = zones[index % zones.size],
            clientListen = Address("127.0.0.1", 8080),
            peerListen = Address("127.0.0.1", 8081),
            peers =
                (0 until shape.nodes).filter { it != index }.map { other ->
                    Peer("n$other", zones[other % zones.size], Address("127.0.0.1", 8081))
                },
            cloudAddress = Address("127.0.0.1", 8443),
            stateAddress = Address("127.0.0.1", 2379),
            zones = zones,
            maxClockSkewMs = 100.0,
            teams =
                shape.teamLimits
                    .map { (name, limit) ->
                        Team(TeamName(name), 0.0, Double.POSITIVE_INFINITY, shape.teamGuarantee, limit)
                    }.associateBy { it.name },
            objectives = emptyList(),
            workers = WorkerSettings(shape.reportMs / 1000.0, shape.leaseMs / 1000.0, CANCEL_MS / 1000.0),
            state = StateSettings(shape.writeRps * 12.0, WriteLimits(shape.writeRps, 16.0, 12), shape.nextLimits),
            cloud = CloudSettings(4.0, LIST_LAG_MS / 1000.0),
            limits = LimitSettings(150.0, 600),
            policy = policy,
        )

    /** Users: one who submits every now and then, polls what is open, and cancels services after a while. */
    fun users(
        everyMs: Long,
        untilMs: Long,
    ) {
        time.after(time.between(everyMs / 2, everyMs * 3 / 2)) {
            if (time.nowMs < untilMs) {
                submitNext()
                users(everyMs, untilMs)
            }
        }
    }

    private var pipelines = 0

    /**
     * Users whose work comes in stages: one, two that need it, and a last one with a deadline that needs both and the
     * first. Each is submitted as soon as those that it needs are accepted; now and then one is called off.
     */
    fun pipelines(
        everyMs: Long,
        untilMs: Long,
        cancelled: Double = 0.2,
    ) {
        time.after(time.between(everyMs / 2, everyMs * 3 / 2)) {
            if (time.nowMs < untilMs) {
                submitPipeline("pipe-%04d".format(pipelines++), cancelled)
                pipelines(everyMs, untilMs, cancelled)
            }
        }
    }

    private fun submitPipeline(
        name: String,
        cancelled: Double,
    ) {
        val first = stage("$name-a")
        val second = listOf("b", "c").map { stage("$name-$it", first) }
        val last = stage("$name-d", first, *second.toTypedArray()).copy(deadlineS = 60.0, priority = Priority.HIGH)
        val stages = listOf(first) + second + last
        submit(first)
        for (next in second) submitAfter(next)
        if (time.chance(0.2)) time.after(30_000) { submitAfter(last) } else submitAfter(last)
        if (time.chance(cancelled)) {
            val preemptedTask = stages[time.random.nextInt(stages.size)].id.value
            time.after(time.between(500, 25_000)) {
                if (checker.jobs[preemptedTask]?.accepted == true) cancel(preemptedTask)
            }
        }
    }

    /** A stage of a pipeline: some short tasks without GPUs, few on a machine so that records are long. */
    fun stage(
        id: String,
        vararg needs: JobSpec,
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
            dependsOn = needs.map { it.id },
        )

    private fun submitAfter(spec: JobSpec) {
        if (spec.dependsOn.all {
                checker.jobs[it.value]?.accepted == true
            }
        ) {
            submit(spec)
        } else {
            time.after(50) { submitAfter(spec) }
        }
    }

    private fun submitNext() = submit(randomSpec("run-%06d".format(submitted++)))

    fun submit(
        spec: JobSpec,
        taskMs: Long = time.between(2_000, 15_000),
    ) {
        val id = spec.id.value
        checker.jobs[id] = InvariantChecker.Known(spec)
        runMs[id] = taskMs
        trySubmit(spec)
        if (spec.kind == JobKind.SERVICE) {
            time.after(time.between(shape.serviceMs.first, shape.serviceMs.last)) { cancel(id) }
        }
    }

    private fun trySubmit(spec: JobSpec) {
        val id = spec.id.value
        val askedMs = time.nowMs
        ask({ answer -> ControllerEvent.Submit(spec, answer) }) { answer ->
            if (answer != null) checker.observed(id, answer, askedMs)
            if (answer is UserResponse.Accepted || answer is UserResponse.Known) lookClosely(spec)
            when (answer) {
                is UserResponse.Accepted, is UserResponse.Known -> poll(id)
                else -> time.after(1000) { trySubmit(spec) }
            }
        }
    }

    private fun poll(id: String) {
        time.after(time.between(1500, 2500)) {
            val askedMs = time.nowMs
            ask({ answer -> ControllerEvent.Poll(JobId(id), answer) }) { answer ->
                if (answer != null) checker.observed(id, answer, askedMs)
                val observed = checker.jobs.getValue(id).observed
                val isFinal = observed == oxbowlug.wire.JobState.DONE || observed == oxbowlug.wire.JobState.CANCELLED
                if (isFinal) checker.jobs[id]?.let { lookClosely(it.spec) }
                // Now and then a user asks again long after the end.
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
        val askedMs = time.nowMs
        ask({ answer -> ControllerEvent.Cancel(JobId(id), answer) }) { answer ->
            if (answer != null) checker.observed(id, answer, askedMs)
            if (answer is UserResponse.Known) lookClosely(job.spec)
            if (answer !is UserResponse.Known && job.accepted) time.after(1000) { cancel(id) }
        }
    }

    /** A cancellation that this controller is asked for, once. */
    fun cancelAt(
        node: SimNode,
        id: String,
        whenTold: () -> Unit = {},
    ) {
        checker.jobs.getValue(id).cancelRequested = true
        val askedMs = time.nowMs
        val tell: (UserResponse) -> Unit = {
            checker.observed(id, it, askedMs)
            whenTold()
        }
        node.ask(ControllerEvent.Cancel(JobId(id), tell))
    }

    val leader: SimNode
        get() {
            val label = store.entry(Keys.LEADERSHIP)?.value?.get("leader")
            return nodes.first { it.label == label }
        }

    fun pollUnknown(
        id: String,
        observed: (UserResponse?) -> Unit,
    ) = ask({ ControllerEvent.Poll(JobId(id), it) }, observed)

    /** Users ask every controller within milliseconds of an answer, and repeat the submission; some cancel at once. */
    var closeLooks = 0.0

    private fun lookClosely(spec: JobSpec) {
        if (!time.chance(closeLooks)) return
        val id = spec.id.value
        repeat(3) { round ->
            for (node in nodes) {
                time.after(time.between(0, 30) + round * 40L) {
                    val askedMs = time.nowMs
                    val tell: (UserResponse) -> Unit = { checker.observed(id, it, askedMs) }
                    node.ask(
                        if (time.chance(
                                0.7,
                            )
                        ) {
                            ControllerEvent.Poll(spec.id, tell)
                        } else {
                            ControllerEvent.Submit(spec, tell)
                        },
                    )
                }
            }
        }
        if (time.chance(0.1)) cancel(id)
    }

    /** One request through the load balancer: null when nobody answered in time. */
    private fun ask(
        command: ((UserResponse) -> Unit) -> ControllerEvent,
        observed: (UserResponse?) -> Unit,
    ) {
        val up = nodes.filter { it.isUp && !it.isAway }
        var answered = false
        val reply: (UserResponse?) -> Unit = { answer ->
            if (!answered) {
                answered = true
                userTrace?.userAnswer(time.nowMs, answer)
                observed(answer)
            }
        }
        if (up.isNotEmpty()) up[time.random.nextInt(up.size)].ask(command { reply(it) })
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
            tasks = 1 + time.random.nextInt(if (isService) shape.largestService else shape.largestArray),
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
        const val CANCEL_MS = 30_000L
        private const val LIST_LAG_MS = 3_000L
    }
}
