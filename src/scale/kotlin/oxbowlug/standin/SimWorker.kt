package oxbowlug.standin

import oxbowlug.lease.HeartbeatResponse
import oxbowlug.wire.AttemptId
import oxbowlug.wire.ExitCause
import oxbowlug.wire.FencingToken
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.TaskState
import oxbowlug.wire.TaskStatus
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone

/** The jobs of a simulation: their specifications and real run times, and callbacks for starts and completed tasks. */
internal interface SimJobs {
    /** Null if the job is unknown. */
    fun spec(job: String): JobSpec?

    /** The real run time of each task of an array job, in ms. */
    fun runMs(job: String): Long

    fun onStarted(machine: SimWorker, attempt: AttemptId)

    fun onDone(attempt: AttemptId)
}

/** A controller that receives a worker's heartbeats. */
internal interface HeartbeatTarget {
    val label: String

    /**
     * Delivers a heartbeat. [answer] is called with null when the controller refused the connection, and never when the
     * heartbeat or its answer was lost.
     */
    fun receive(workerHeartbeat: WorkerHeartbeat, answer: (HeartbeatResponse?) -> Unit)
}

/** When a worker sends heartbeats. All times in milliseconds. */
internal sealed interface HeartbeatPacing {
    val intervalMs: Long

    /** How often the worker checks whether a heartbeat is due. */
    val checkIntervalMs: LongRange

    /** Network latency between worker and controller, in each direction. */
    val transitMs: LongRange

    /** At a fixed interval without jitter. The simulation tests on virtual time use it; their traces depend on it. */
    data class Fixed(override val intervalMs: Long) : HeartbeatPacing {
        override val checkIntervalMs = 40L..90L
        override val transitMs = 1L..20L
    }

    /**
     * As the published protocol specifies: at the interval with a jitter of a quarter of it either way; sooner after a
     * change, but at most once each half second; between 0 and half a second after a redirect, to the controller that
     * it names; a second after any other failure. The [HeartbeatTarget] adds the latency of the network.
     */
    data class Protocol(override val intervalMs: Long) : HeartbeatPacing {
        override val checkIntervalMs = 60L..120L
        override val transitMs = 0L..0L
        val jitterMs = intervalMs / 4
        val minChangeIntervalMs = 500L
        val redirectDelayMs = 0L..500L
        val failureDelayMs = 1000L
    }
}

/**
 * Simulates one worker by its published protocol: incarnations, leases, fencing tokens, and at most one heartbeat in
 * flight. The `...Until` properties inject faults up to the given virtual time.
 */
internal class SimWorker(
    private val time: VirtualTime,
    private val jobs: SimJobs,
    private val controllers: () -> List<HeartbeatTarget>,
    val id: MachineId,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    private val leaseMs: Long,
    private val pacing: HeartbeatPacing,
    /** Called with each heartbeat that is sent, also if it is then lost. */
    private val onSent: (WorkerHeartbeat) -> Unit = {},
    endpoint: String? = null,
) {
    /** An attempt of a task, from the start command until the command to forget it or the end of the lease. */
    class WorkerTask(
        val attempt: AttemptId,
        var state: TaskState,
        var cause: ExitCause? = null,
        var saved: Boolean = false
    ) {
        var turn = 0

        /** Whether its process exists. */
        val isOnMachine: Boolean get() = state == TaskState.RUNNING || state == TaskState.SAVING
    }

    val endpoint = endpoint ?: id.value.substringAfterLast('-').toInt()
        .let { "10.${it shr 16}.${it shr 8 and 255}.${it and 255}:9000" }
    val tasks = LinkedHashMap<AttemptId, WorkerTask>()

    /** Array tasks that this worker completed: another attempt of one of them completes at once. */
    private val finishedTasks = HashSet<String>()
    private val images = HashSet<String>()
    private var incarnation = 1L
    private var sequence = 0L
    private var token = FencingToken(0)

    /** When the lease began: the send time of the last heartbeat that renewed it, or the start of the incarnation. */
    var leaseStartedAt = time.nowMs
        private set
    private var controllerIndex = 0
    private var inFlight = false
    private var lastHeartbeatAt = 0L
    private var nextHeartbeatAt = 0L

    /** No heartbeat before this time, even for a change: set after a redirect, refusal or timeout. */
    private var earliestHeartbeatAt = 0L

    /** Whether anything changed since the last heartbeat. */
    private var hasChanges = false
    private var nextTokenChangeAt = 0L
    var alive = true

    /** The worker hangs: it sends and handles nothing, and its tasks count as running until its lease expires. */
    var hungUntil = 0L

    /** Its heartbeats are lost, while direct commands reach it. */
    var heartbeatsLostUntil = 0L

    /** Its heartbeats arrive, but it receives neither their answers nor direct commands. */
    var unresponsiveUntil = 0L

    /** Its heartbeats arrive, but it receives no answers to them; direct commands reach it. */
    var answersLostUntil = 0L

    /** Seconds until the cloud takes this spot machine back; null: no notice. */
    var interruptionNoticeS: Double? = null
    val isHung: Boolean get() = time.nowMs < hungUntil

    /** Called after direct commands were executed, with what repeats them, as a network may. */
    var onDirectCommandsExecuted: (repeat: () -> Unit) -> Unit = {}

    /** The last 20 heartbeats, for faults that deliver an old one again. */
    val recentHeartbeats = ArrayDeque<WorkerHeartbeat>()

    /** Whether the machine has booted. Before that it has no lease. */
    var isUp = false
        private set

    fun boot() {
        isUp = true
        leaseStartedAt = time.nowMs
        tick()
    }

    private fun tick() {
        if (!alive) return
        if (!isHung) {
            if (time.nowMs > leaseStartedAt + leaseMs) expireLease()
            if (!inFlight && isHeartbeatDue()) sendHeartbeat()
        }
        time.after(time.between(pacing.checkIntervalMs)) { tick() }
    }

    private fun isHeartbeatDue(): Boolean = time.nowMs >= nextHeartbeatAt ||
        hasChanges && pacing is HeartbeatPacing.Protocol &&
        time.nowMs >= maxOf(earliestHeartbeatAt, lastHeartbeatAt + pacing.minChangeIntervalMs)

    private fun nextIntervalMs(): Long = when (pacing) {
        is HeartbeatPacing.Fixed -> pacing.intervalMs
        is HeartbeatPacing.Protocol ->
            time.between(pacing.intervalMs - pacing.jitterMs, pacing.intervalMs + pacing.jitterMs)
    }

    private fun tryNextController() {
        controllerIndex++
        if (pacing is HeartbeatPacing.Protocol) delayNextHeartbeat(pacing.failureDelayMs)
    }

    private fun followRedirect(redirect: HeartbeatResponse.Redirect) {
        val index = controllers().indexOfFirst { it.label == redirect.label }
        if (index < 0 || index == controllerIndex % controllers().size) return tryNextController()
        controllerIndex = index
        if (pacing is HeartbeatPacing.Protocol) delayNextHeartbeat(time.between(pacing.redirectDelayMs))
    }

    private fun delayNextHeartbeat(delayMs: Long) {
        earliestHeartbeatAt = time.nowMs + delayMs
        nextHeartbeatAt = earliestHeartbeatAt
    }

    /** Number of running tasks that ended because the lease expired. */
    var endedByLease = 0
        private set

    private fun expireLease() {
        endedByLease += tasks.values.count { it.isOnMachine }
        tasks.clear()
        incarnation++
        hasChanges = true
        leaseStartedAt = time.nowMs
    }

    private fun sendHeartbeat() {
        inFlight = true
        hasChanges = false
        lastHeartbeatAt = time.nowMs
        nextHeartbeatAt = time.nowMs + nextIntervalMs()
        val sentAt = time.nowMs
        val heartbeat = newHeartbeat()
        recentHeartbeats.addLast(heartbeat)
        if (recentHeartbeats.size > 20) recentHeartbeats.removeFirst()
        val target = controllers()[controllerIndex % controllers().size]
        var answered = false
        onSent(heartbeat)
        time.after(time.between(pacing.transitMs)) {
            if (time.nowMs < heartbeatsLostUntil) return@after
            target.receive(heartbeat) { answer ->
                time.after(time.between(pacing.transitMs)) {
                    if (!answered && time.nowMs < sentAt + RESPONSE_TIMEOUT_MS) {
                        answered = true
                        whenNotHung { handleResponse(answer, heartbeat, sentAt) }
                    }
                }
            }
        }
        time.after(RESPONSE_TIMEOUT_MS) {
            if (!answered) {
                answered = true
                tryNextController()
                inFlight = false
            }
        }
    }

    /** Runs [action] now or, on a hung machine, once it resumes. On a crashed or returned machine it never runs. */
    private fun whenNotHung(action: () -> Unit) {
        if (!alive) return
        if (isHung) return time.after(hungUntil - time.nowMs + 1) { whenNotHung(action) }
        // A machine that resumes after its lease expired ends its tasks before anything else.
        if (time.nowMs > leaseStartedAt + leaseMs) expireLease()
        action()
    }

    private fun handleResponse(answer: HeartbeatResponse?, heartbeat: WorkerHeartbeat, sentAt: Long) {
        inFlight = false
        if (time.nowMs < unresponsiveUntil || time.nowMs < answersLostUntil) return tryNextController()
        when (answer) {
            is HeartbeatResponse.Renewed -> {
                if (time.nowMs > leaseStartedAt + leaseMs) expireLease()
                val isLate = time.nowMs > sentAt + RESPONSE_TIMEOUT_MS
                if (answer.token < token || heartbeat.incarnation != incarnation || isLate) return
                updateToken(answer.token)
                leaseStartedAt = sentAt
                answer.commands.forEach(::execute)
            }
            is HeartbeatResponse.Redirect -> followRedirect(answer)
            HeartbeatResponse.Unavailable, null -> tryNextController()
        }
    }

    /** A higher token counts as a change, which brings the next heartbeat forward, at most once within half a lease. */
    private fun updateToken(newToken: FencingToken) {
        if (newToken > token && time.nowMs >= nextTokenChangeAt) {
            nextTokenChangeAt = time.nowMs + leaseMs / 2
            hasChanges = true
        }
        token = newToken
    }

    /** The worker's present state, with the next sequence number. */
    fun newHeartbeat(): WorkerHeartbeat = WorkerHeartbeat(
        machine = id, endpoint = endpoint, type = type.name, zone = zone, spot = spot, incarnation = incarnation,
        sequence = ++sequence, token = token, interruptionNoticeS = interruptionNoticeS,
        tasks = tasks.values.map { TaskStatus(it.attempt, it.state, it.cause, it.saved) },
    )

    /**
     * Receives direct commands; a hung machine executes them when it resumes. [answer] gets the worker's state and
     * whether the commands were valid. It is not called while the worker is unresponsive, nor for a repeat.
     */
    fun direct(
        newToken: FencingToken,
        forIncarnation: Long,
        commands: List<WorkerCommand>,
        isRepeat: Boolean = false,
        answer: (WorkerHeartbeat, Boolean) -> Unit,
    ) {
        whenNotHung {
            if (time.nowMs >= unresponsiveUntil) {
                if (time.nowMs > leaseStartedAt + leaseMs) expireLease()
                val valid = newToken >= token && forIncarnation == incarnation
                if (valid) {
                    updateToken(newToken)
                    commands.forEach(::execute)
                }
                if (valid && !isRepeat) {
                    onDirectCommandsExecuted {
                        direct(newToken, forIncarnation, commands, isRepeat = true) { _, _ -> }
                    }
                }
                if (!isRepeat) answer(newHeartbeat(), valid)
            }
        }
    }

    /** Answers a status query. [answer] is not called while the worker is unresponsive. */
    fun status(answer: (WorkerHeartbeat) -> Unit) =
        whenNotHung { if (time.nowMs >= unresponsiveUntil) answer(newHeartbeat()) }

    private fun execute(command: WorkerCommand) {
        when (command) {
            is WorkerCommand.Start -> start(command.attempt)
            is WorkerCommand.Stop -> stop(command.attempt, command.graceS)
            is WorkerCommand.Forget -> tasks.values.removeIf {
                it.attempt == command.attempt && it.state == TaskState.EXITED
            }
        }
    }

    private fun start(attempt: AttemptId) {
        if (attempt in tasks) return
        val spec = jobs.spec(attempt.task.job.value)
        val task = WorkerTask(attempt, TaskState.FETCHING)
        tasks[attempt] = task
        hasChanges = true
        val others = tasks.values.filter { it !== task && it.state != TaskState.EXITED }
        when {
            spec == null -> exit(task, ExitCause.UNKNOWN)
            others.any { it.attempt.task == attempt.task } -> exit(task, ExitCause.BUSY)
            !fits(spec, others) -> exit(task, ExitCause.FULL)
            else -> {
                val fetchMs = if (spec.image.value in images) 0L else (spec.imageGb / type.fetchGbPerS * 1000).toLong()
                time.after(fetchMs) { whenNotHung { run(task, spec) } }
            }
        }
    }

    /** Whether the job's task fits beside all tasks that haven't exited. */
    fun hasCapacityFor(spec: JobSpec): Boolean = fits(spec, tasks.values.filter { it.state != TaskState.EXITED })

    private fun fits(spec: JobSpec, others: List<WorkerTask>): Boolean {
        val specs = others.mapNotNull { jobs.spec(it.attempt.task.job.value) }
        return specs.sumOf { it.cores } + spec.cores <= type.cores + 1e-6 &&
            specs.sumOf { it.gpus } + spec.gpus <= type.gpus + 1e-6 &&
            specs.sumOf { it.memoryGb } + spec.memoryGb <= type.memoryGb + 1e-6
    }

    private fun run(task: WorkerTask, spec: JobSpec) {
        if (tasks[task.attempt] !== task || task.state != TaskState.FETCHING) return
        images.add(spec.image.value)
        task.state = TaskState.RUNNING
        hasChanges = true
        jobs.onStarted(this, task.attempt)
        if (spec.kind != JobKind.ARRAY) return
        val remainingMs = if (task.attempt.task.toString() in finishedTasks) 0L else jobs.runMs(spec.id.value)
        time.after(remainingMs) {
            whenNotHung {
                if (tasks[task.attempt] === task && task.state == TaskState.RUNNING) {
                    finishedTasks.add(task.attempt.task.toString())
                    exit(task, ExitCause.DONE)
                }
            }
        }
    }

    private fun stop(attempt: AttemptId, graceS: Double) {
        val task = tasks[attempt] ?: return
        if (task.state == TaskState.EXITED) return
        val spec = jobs.spec(attempt.task.job.value)
        if (task.state == TaskState.RUNNING && spec != null && spec.savesWork && graceS >= spec.saveS) {
            task.state = TaskState.SAVING
            hasChanges = true
            time.after((spec.saveS * 1000).toLong()) {
                whenNotHung { if (task.state == TaskState.SAVING) exit(task, ExitCause.STOPPED) }
            }
        } else if (task.state != TaskState.SAVING || graceS == 0.0) {
            exit(task, ExitCause.STOPPED)
        }
    }

    private fun exit(task: WorkerTask, cause: ExitCause) {
        task.state = TaskState.EXITED
        task.cause = cause
        hasChanges = true
        if (cause == ExitCause.DONE) jobs.onDone(task.attempt)
    }

    /** Tasks whose processes run, as the checker counts them: those of a hung machine run until its lease expires. */
    fun runningTasks(): List<WorkerTask> {
        if (!alive || time.nowMs > leaseStartedAt + leaseMs) return emptyList()
        return tasks.values.filter { it.isOnMachine }
    }

    private companion object {
        const val RESPONSE_TIMEOUT_MS = 4000L
    }
}
