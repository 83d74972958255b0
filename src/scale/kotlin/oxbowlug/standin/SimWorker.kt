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

/** What a worker may know of jobs, and how long their tasks really take. */
internal interface SimJobs {
    fun spec(job: String): JobSpec?

    fun runMs(job: String): Long

    fun onStarted(machine: SimWorker, attempt: AttemptId)

    fun onDone(attempt: AttemptId)
}

/** One controller, as a worker reports to it. */
internal interface HeartbeatTarget {
    val label: String

    /** [answer] is given null when the controller refused the connection; a lost report has no answer at all. */
    fun receive(report: WorkerHeartbeat, answer: (HeartbeatResponse?) -> Unit)
}

/** When a worker reports, all in milliseconds. */
internal sealed interface HeartbeatPacing {
    val intervalMs: Long

    /** How often the worker looks whether a report is due. */
    val checkMs: LongRange

    /** On the way to a controller, and back. */
    val transitMs: LongRange

    /** At a fixed interval: what the days on virtual time have been played with from the beginning. */
    data class Fixed(override val intervalMs: Long) : HeartbeatPacing {
        override val checkMs = 40L..90L
        override val transitMs = 1L..20L
    }

    /**
     * As the protocol has it: give or take a quarter of the interval, at most each half second when something changed,
     * at once or half a second later where a redirect leads, and a second after any other failure. The network's
     * transit is left to the [HeartbeatTarget].
     */
    data class Protocol(override val intervalMs: Long) : HeartbeatPacing {
        override val checkMs = 60L..120L
        override val transitMs = 0L..0L
        val variesBy = intervalMs / 4
        val changesMs = 500L
        val redirectMs = 0L..500L
        val failureMs = 1000L
    }
}

/** One worker by its published protocol: incarnations, leases, tokens, and one report in flight. */
internal class SimWorker(
    private val time: VirtualTime,
    private val book: SimJobs,
    private val nodes: () -> List<HeartbeatTarget>,
    val id: MachineId,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    private val leaseMs: Long,
    private val pacing: HeartbeatPacing,
    private val onSent: (WorkerHeartbeat) -> Unit = {},
    endpoint: String? = null,
) {
    class Running(
        val attempt: AttemptId,
        var state: TaskState,
        var cause: ExitCause? = null,
        var saved: Boolean = false
    ) {
        var turn = 0
        val runningTasks: Boolean get() = state == TaskState.RUNNING || state == TaskState.SAVING
    }

    val endpoint = endpoint ?: id.value.substringAfterLast('-').toInt()
        .let { "10.${it shr 16}.${it shr 8 and 255}.${it and 255}:9000" }
    val tasks = LinkedHashMap<AttemptId, Running>()
    private val results = HashSet<String>()
    private val images = HashSet<String>()
    private var incarnation = 1L
    private var sequence = 0L
    private var token = FencingToken(0)

    /** When the last answered report was sent, or the incarnation began. */
    var leaseStartedAt = time.nowMs
        private set
    private var node = 0
    private var inFlight = false
    private var lastHeartbeatAt = 0L
    private var nextReportAt = 0L

    /** After a refusal or silence not even a change is reported sooner. */
    private var notBefore = 0L

    /** Something that the last report didn't say yet. */
    private var hasChanges = false
    private var nextTokenChangeAt = 0L
    var alive = true
    var hungUntil = 0L

    /** It reaches no controller, while direct commands reach it. */
    var heartbeatsLostUntil = 0L

    /** Its reports arrive, but answers and commands don't reach it. */
    var unresponsiveUntil = 0L

    /** Its reports arrive, but their answers don't reach it, while direct commands do. */
    var answersLostUntil = 0L
    var interruptionNoticeS: Double? = null
    val isHung: Boolean get() = time.nowMs < hungUntil

    /** Copies of old reports, for faults that deliver them again. */
    val recentHeartbeats = ArrayDeque<WorkerHeartbeat>()

    /** Up since its boot; a machine that still boots has no lease to lose. */
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
            if (time.nowMs > leaseStartedAt + leaseMs) expire()
            if (!inFlight && isReportDue()) report()
        }
        time.after(time.between(pacing.checkMs)) { tick() }
    }

    private fun isReportDue(): Boolean = time.nowMs >= nextReportAt ||
        hasChanges && pacing is HeartbeatPacing.Protocol &&
        time.nowMs >= maxOf(notBefore, lastHeartbeatAt + pacing.changesMs)

    private fun pauseAfterReport(): Long = when (pacing) {
        is HeartbeatPacing.Fixed -> pacing.intervalMs
        is HeartbeatPacing.Protocol ->
            time.between(pacing.intervalMs - pacing.variesBy, pacing.intervalMs + pacing.variesBy)
    }

    private fun tryNextNode() {
        node++
        if (pacing is HeartbeatPacing.Protocol) pauseFor(pacing.failureMs)
    }

    private fun follow(redirect: HeartbeatResponse.Redirect) {
        val index = nodes().indexOfFirst { it.label == redirect.label }
        if (index < 0 || index == node % nodes().size) return tryNextNode()
        node = index
        if (pacing is HeartbeatPacing.Protocol) pauseFor(time.between(pacing.redirectMs))
    }

    private fun pauseFor(pauseMs: Long) {
        notBefore = time.nowMs + pauseMs
        nextReportAt = notBefore
    }

    /** Tasks that ended with its lease. */
    var endedByLease = 0
        private set

    private fun expire() {
        endedByLease += tasks.values.count { it.runningTasks }
        tasks.clear()
        incarnation++
        hasChanges = true
        leaseStartedAt = time.nowMs
    }

    private fun report() {
        inFlight = true
        hasChanges = false
        lastHeartbeatAt = time.nowMs
        nextReportAt = time.nowMs + pauseAfterReport()
        val sentAt = time.nowMs
        val message = account()
        recentHeartbeats.addLast(message)
        if (recentHeartbeats.size > 20) recentHeartbeats.removeFirst()
        val target = nodes()[node % nodes().size]
        var answered = false
        onSent(message)
        time.after(time.between(pacing.transitMs)) {
            if (time.nowMs < heartbeatsLostUntil) return@after
            target.receive(message) { answer ->
                time.after(time.between(pacing.transitMs)) {
                    if (!answered && time.nowMs < sentAt + ANSWER_MS) {
                        answered = true
                        whenAwake { take(answer, message, sentAt) }
                    }
                }
            }
        }
        time.after(ANSWER_MS) {
            if (!answered) {
                answered = true
                tryNextNode()
                inFlight = false
            }
        }
    }

    private fun whenAwake(action: () -> Unit) {
        if (!alive) return
        if (isHung) return time.after(hungUntil - time.nowMs + 1) { whenAwake(action) }
        // A machine that goes on after its lease is over ends its tasks before anything else.
        if (time.nowMs > leaseStartedAt + leaseMs) expire()
        action()
    }

    private fun take(answer: HeartbeatResponse?, message: WorkerHeartbeat, sentAt: Long) {
        inFlight = false
        if (time.nowMs < unresponsiveUntil || time.nowMs < answersLostUntil) return tryNextNode()
        when (answer) {
            is HeartbeatResponse.Renewed -> {
                if (time.nowMs > leaseStartedAt + leaseMs) expire()
                val isLate = time.nowMs > sentAt + ANSWER_MS
                if (answer.token < token || message.incarnation != incarnation || isLate) return
                see(answer.token)
                leaseStartedAt = sentAt
                answer.commands.forEach(::execute)
            }
            is HeartbeatResponse.Redirect -> follow(answer)
            HeartbeatResponse.Unavailable, null -> tryNextNode()
        }
    }

    /** A higher token counts as a change at most once within half a lease. */
    private fun see(given: FencingToken) {
        if (given > token && time.nowMs >= nextTokenChangeAt) {
            nextTokenChangeAt = time.nowMs + leaseMs / 2
            hasChanges = true
        }
        token = given
    }

    fun account(): WorkerHeartbeat = WorkerHeartbeat(
        machine = id, endpoint = endpoint, type = type.name, zone = zone, spot = spot, incarnation = incarnation,
        sequence = ++sequence, token = token, interruptionNoticeS = interruptionNoticeS,
        tasks = tasks.values.map { TaskStatus(it.attempt, it.state, it.cause, it.saved) },
    )

    /** A direct command, which a hanging machine executes when it goes on. Null: nobody answers. */
    fun direct(
        given: FencingToken,
        forIncarnation: Long,
        commands: List<WorkerCommand>,
        answer: (WorkerHeartbeat, Boolean) -> Unit,
    ) {
        whenAwake {
            if (time.nowMs >= unresponsiveUntil) {
                if (time.nowMs > leaseStartedAt + leaseMs) expire()
                val valid = given >= token && forIncarnation == incarnation
                if (valid) {
                    see(given)
                    commands.forEach(::execute)
                }
                answer(account(), valid)
            }
        }
    }

    fun status(answer: (WorkerHeartbeat) -> Unit) =
        whenAwake { if (time.nowMs >= unresponsiveUntil) answer(account()) }

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
        val spec = book.spec(attempt.task.job.value)
        val running = Running(attempt, TaskState.FETCHING)
        tasks[attempt] = running
        hasChanges = true
        val others = tasks.values.filter { it !== running && it.state != TaskState.EXITED }
        when {
            spec == null -> exit(running, ExitCause.UNKNOWN)
            others.any { it.attempt.task == attempt.task } -> exit(running, ExitCause.BUSY)
            !fits(spec, others) -> exit(running, ExitCause.FULL)
            else -> {
                val fetchMs = if (spec.image.value in images) 0L else (spec.imageGb / type.fetchGbPerS * 1000).toLong()
                time.after(fetchMs) { whenAwake { run(running, spec) } }
            }
        }
    }

    fun hasCapacityFor(spec: JobSpec): Boolean = fits(spec, tasks.values.filter { it.state != TaskState.EXITED })

    private fun fits(spec: JobSpec, others: List<Running>): Boolean {
        val specs = others.mapNotNull { book.spec(it.attempt.task.job.value) }
        return specs.sumOf { it.cores } + spec.cores <= type.cores + 1e-6 &&
            specs.sumOf { it.gpus } + spec.gpus <= type.gpus + 1e-6 &&
            specs.sumOf { it.memoryGb } + spec.memoryGb <= type.memoryGb + 1e-6
    }

    private fun run(running: Running, spec: JobSpec) {
        if (tasks[running.attempt] !== running || running.state != TaskState.FETCHING) return
        images.add(spec.image.value)
        running.state = TaskState.RUNNING
        hasChanges = true
        book.onStarted(this, running.attempt)
        if (spec.kind != JobKind.ARRAY) return
        val left = if (running.attempt.task.toString() in results) 0L else book.runMs(spec.id.value)
        time.after(left) {
            whenAwake {
                if (tasks[running.attempt] === running && running.state == TaskState.RUNNING) {
                    results.add(running.attempt.task.toString())
                    exit(running, ExitCause.DONE)
                }
            }
        }
    }

    private fun stop(attempt: AttemptId, graceS: Double) {
        val running = tasks[attempt] ?: return
        if (running.state == TaskState.EXITED) return
        val spec = book.spec(attempt.task.job.value)
        if (running.state == TaskState.RUNNING && spec != null && spec.savesWork && graceS >= spec.saveS) {
            running.state = TaskState.SAVING
            hasChanges = true
            time.after((spec.saveS * 1000).toLong()) {
                whenAwake { if (running.state == TaskState.SAVING) exit(running, ExitCause.STOPPED) }
            }
        } else if (running.state != TaskState.SAVING || graceS == 0.0) {
            exit(running, ExitCause.STOPPED)
        }
    }

    private fun exit(running: Running, cause: ExitCause) {
        running.state = TaskState.EXITED
        running.cause = cause
        hasChanges = true
        if (cause == ExitCause.DONE) book.onDone(running.attempt)
    }

    /** What the rules see: a hanging machine's tasks are there until its lease is over. */
    fun runningTasks(): List<Running> {
        if (!alive || time.nowMs > leaseStartedAt + leaseMs) return emptyList()
        return tasks.values.filter { it.runningTasks }
    }

    private companion object {
        const val ANSWER_MS = 4000L
    }
}
