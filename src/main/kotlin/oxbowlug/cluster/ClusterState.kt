package oxbowlug.cluster

import org.slf4j.LoggerFactory
import oxbowlug.cache.CachedJob
import oxbowlug.cache.DependencyState
import oxbowlug.cache.StateCache
import oxbowlug.config.Address
import oxbowlug.config.Team
import oxbowlug.forecast.DemandForecast
import oxbowlug.invariant.Invariants
import oxbowlug.port.Clock
import oxbowlug.port.Invariant
import oxbowlug.record.JobRecord
import oxbowlug.record.Phase
import oxbowlug.timing.Timing
import oxbowlug.wire.AttemptId
import oxbowlug.wire.ExitCause
import oxbowlug.wire.FencingToken
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineId
import oxbowlug.wire.TaskState
import oxbowlug.wire.TaskStatus
import oxbowlug.wire.TeamName
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat

/**
 * Jobs and machines as their leader knows them, kept in step. An attempt leaves the account only by one of the
 * proofs in docs/safety.md; silence, a refused connection or a young list prove nothing.
 */
internal class ClusterState(
    val token: FencingToken,
    private val clock: Clock,
    private val timing: Timing,
    val forecast: DemandForecast,
    /** Images by machine as an earlier leader told them: a hint for prices, never a fact. */
    private val rememberedImages: Map<MachineId, List<ImageName>> = emptyMap(),
    teams: Map<TeamName, Team> = emptyMap(),
    /** What a job's predecessors mean for it, as committed. */
    private val dependencyState: (List<JobId>) -> DependencyState = { DependencyState.READY },
    private val invariants: Invariants,
) {
    private val limits = TeamQuotas(teams, timing)
    val jobs = LinkedHashMap<JobId, Job>()
    val machines = LinkedHashMap<MachineId, Machine>()

    /** Returned, failed or vanished: late messages of theirs are not believed any more. */
    private val removed = HashSet<MachineId>()

    /** Something changed that a new plan could use. */
    var planWanted = true

    /** Machines whose commands changed and that should hear of it directly. */
    val pendingPushes = LinkedHashSet<MachineId>()

    /** Jobs that differ from what is stored: looked for among all jobs, they would cost a scan for every report. */
    val dirty = LinkedHashSet<Job>()

    /** An attempt may be held on a machine that is gone. */
    private var hasOrphans = false

    fun isRemoved(id: MachineId): Boolean = id in removed

    fun machine(id: MachineId): Machine? {
        if (id in removed) return null
        return machines.getOrPut(id) {
            Machine(id, clock.steadyMs()).also { it.images.addAll(rememberedImages[id].orEmpty()) }
        }
    }

    fun applyJob(
        id: JobId,
        stored: CachedJob,
        value: Map<String, Any?>,
    ) {
        val present = jobs[id]
        val now = clock.steadyMs()
        if (present == null) {
            if (stored.value == null) return
            val record = JobRecord.decode(value)
            val job = Job(record, stored.version, dirty::add)
            if (record.phase == Phase.CANCELLED) job.cancelledAt = cancelledAt(record, now)
            jobs[id] = job
            // Jobs that wait for others are known to come; they aren't guessed at.
            if (job.spec.dependsOn.isEmpty()) forecast.add(job.spec, job.submittedMs)
            job.restoreAttempts(record)
            attachAll(job)
            followPredecessors(job, now)
            planWanted = true
            return
        }
        if (stored.version <= present.version) return
        val old = present.attempts.values.toList()
        val wasActive = present.phase == Phase.ACTIVE
        val record = JobRecord.decode(value)
        if (present.foreignWrite(record, stored.version, now)) {
            hasOrphans = true
            for (attempt in old) machines[attempt.machine]?.attempts?.remove(attempt.id)
            attachAll(present)
        }
        if (present.phase == Phase.CANCELLED) {
            if (wasActive) {
                if (present.spec.dependsOn.isEmpty()) forecast.leave(present.spec, clock.wallMs())
                val since = cancelledAt(record, now)
                present.cancelledAt = since
                val left = present.attempts.size
                log.info("{} is cancelled at {}, {} ms ago, {} attempts left", id, stored.version, now - since, left)
            }
            stopCancelled(present)
        }
        planWanted = true
    }

    /** A predecessor is done or cancelled. */
    fun dependencyChanged(id: JobId) {
        jobs[id]?.let { followPredecessors(it, clock.steadyMs()) }
        planWanted = true
    }

    private fun followPredecessors(
        job: Job,
        now: Long,
    ) {
        if (job.spec.dependsOn.isEmpty() || job.phase != Phase.ACTIVE) return
        when (dependencyState(job.spec.dependsOn)) {
            DependencyState.READY -> if (job.readyMs == null) job.readyMs = clock.wallMs()
            DependencyState.CANCELLED -> job.cancelByPredecessor(now, clock.wallMs())
            DependencyState.WAITING -> Unit
        }
    }

    /** Counted from when its user was told, not from when this leader learned of it: it may have been elected since. */
    private fun cancelledAt(
        record: JobRecord,
        now: Long,
    ): Long {
        val ageMs = record.cancelledMs?.let { clock.wallMs() - it } ?: 0
        return now - ageMs.coerceIn(0, timing.cancelMs)
    }

    private fun attachAll(job: Job) {
        for (attempt in job.attempts.values.toList()) {
            val machine = machine(attempt.machine)
            if (machine == null) remove(attempt) else machine.attempts[attempt.id] = attempt
        }
    }

    private fun stopCancelled(job: Job) {
        for (attempt in job.attempts.values.toList()) {
            val machine = machines[attempt.machine]
            removeOrPush(machine, attempt)
        }
    }

    /** Placements that were never written, so no start of them was sent; returns how many. */
    fun withdrawUncommitted(job: Job): Int {
        val uncommitted = job.attempts.values.filter { !it.committed }
        uncommitted.forEach(::remove)
        return uncommitted.size
    }

    fun place(
        job: Job,
        task: Int,
        machine: Machine,
    ) {
        // Started before its predecessors' ends are committed, it would run even if one of them is cancelled instead.
        check(job.readyMs != null) { "${job.id} waits for other jobs" }
        val attempt = job.place(task, machine.id, clock.steadyMs())
        machine.attempts[attempt.id] = attempt
        machine.idleSince = null
    }

    fun stop(
        attempt: TaskAttempt,
        reason: StopReason,
        target: MachineId? = null,
    ) {
        attempt.stopReason = reason
        attempt.target = target
        val machine = machines[attempt.machine]
        removeOrPush(machine, attempt)
    }

    private fun removeOrPush(
        machine: Machine?,
        attempt: TaskAttempt,
    ) {
        val there = machine != null && attempt.committed && machine.mayBeThere(attempt, token)
        if (there) pendingPushes.add(attempt.machine) else remove(attempt)
    }

    /** The attempt is gone, or was never there. */
    private fun remove(attempt: TaskAttempt) {
        val now = clock.steadyMs()
        if (attempt.target != null) attempt.job.movingUntil = now + timing.movingMs
        if (attempt.job.attempts[attempt.task] === attempt) limits.freed(attempt.job.spec.team, attempt.job.need)
        attempt.job.drop(attempt.task, now)
        machines[attempt.machine]?.attempts?.remove(attempt.id)
        planWanted = true
    }

    /** Proof 1: what the worker itself says. [isHeartbeat] is false for the answers of direct commands. */
    fun applyHeartbeat(
        report: WorkerHeartbeat,
        isHeartbeat: Boolean,
    ): Machine? {
        val machine = machine(report.machine) ?: return null
        val now = clock.steadyMs()
        val position = HeartbeatPosition(report.incarnation, report.sequence)
        if (machine.lease.hasEnded(report.incarnation)) {
            log.info("{} is heard in incarnation {}, which has ended", machine.id, report.incarnation)
            return machine
        }
        machine.lease.onIncarnationObserved(report.incarnation, now)
        if (isHeartbeat) {
            // A copy of an older report renews nothing and proves nothing.
            if (position <= machine.lastHeartbeat) return machine
            machine.lastHeartbeat = position
            machine.lease.renewed(now)
        }
        if (position <= machine.position) return machine
        if (report.incarnation > machine.position.incarnation || report.token > machine.token) {
            // Direct commands carry incarnation and token, so those of an earlier one can't be executed any more.
            machine.unresolved.clear()
        }
        val firstHeard = machine.lastContactAt == null
        machine.position = position
        machine.token = report.token
        machine.lastContactAt = now
        machine.isLeaseExpired = false
        machine.type = report.type
        machine.zone = report.zone
        machine.spot = report.spot
        machine.endpoint = Address.parse(report.endpoint)
        machine.noticeUntil = report.noticeS?.let { now + (it * 1000).toLong() }
        machine.tasks = report.tasks.associateBy { it.attempt }
        if (firstHeard) planWanted = true
        applyTasks(machine, position, isHeartbeat, now)
        return machine
    }

    private fun applyTasks(
        machine: Machine,
        position: HeartbeatPosition,
        isHeartbeat: Boolean,
        now: Long,
    ) {
        val settled = machine.isSettled(token)
        for (attempt in machine.attempts.values.toList()) {
            val seen = machine.tasks[attempt.id]
            if (seen != null) {
                attempt.answeredAt = null
                attempt.inherited = false
                machine.unresponsiveUntil = 0L
                applyTaskStatus(machine, attempt, seen, now)
                continue
            }
            val isAbsent = settled && attempt.inherited
            if (settled) attempt.inherited = false
            val answered = attempt.answeredAt
            // One report is in flight at a time: after a newer one, an older answer is executed or dropped for good.
            if (isHeartbeat && answered != null && position > answered) attempt.answeredAt = null
            attempt.seen = null
            if (machine.mayBeThere(attempt, token)) continue
            if (!attempt.isWanted || isAbsent && limits.isOverQuota(attempt.job.spec.team, jobs.values, now)) {
                // The former leader saw it end and gave its room away, but ended before it had stored the end.
                remove(attempt)
            } else if (isHeartbeat && attempt.isOverdue(now, timing.workerLeaseRawMs)) {
                // Its reports arrive, but what we say does not: the work goes elsewhere.
                log.info("{} does not take {}", machine.id, attempt.id)
                machine.unresponsiveUntil = now + timing.unresponsiveMs
                remove(attempt)
            }
        }
        for (task in machine.tasks.values) {
            if (task.attempt in machine.attempts) continue
            adoptUnknownResult(task, now)
            if (settled) requireOnePlace(machine, task)
        }
    }

    /** What the account gave up, by a proof, must not turn up beside the attempt that was placed after it. */
    private fun requireOnePlace(
        machine: Machine,
        task: TaskStatus,
    ) {
        if (task.state != TaskState.RUNNING) return
        val attempt = jobs[task.attempt.task.job]?.attempts?.get(task.attempt.task.index) ?: return
        if (attempt.machine == machine.id || attempt.seen != TaskState.RUNNING) return
        val what = "${task.attempt} runs on ${machine.id} and ${attempt.id} on ${attempt.machine}"
        invariants.violated(Invariant.ONE_PLACE_A_TASK, what)
    }

    private fun applyTaskStatus(
        machine: Machine,
        attempt: TaskAttempt,
        seen: TaskStatus,
        now: Long,
    ) {
        val job = attempt.job
        if (seen.state == TaskState.RUNNING && attempt.seen != TaskState.RUNNING) {
            attempt.seenRunningAt = now
            machine.images.remove(job.spec.image)
            machine.images.add(job.spec.image)
        }
        attempt.seen = seen.state
        if (seen.state != TaskState.EXITED) return
        when (seen.cause) {
            ExitCause.DONE -> {
                machine.images.add(job.spec.image)
                machine.failedJobs.clear()
                job.failures = 0
                job.markDone(attempt.task, now)
            }
            ExitCause.STOPPED -> Unit
            ExitCause.ERROR -> FailureBackoff.onError(machine, job, now, timing)
            ExitCause.FULL, ExitCause.BUSY, ExitCause.UNKNOWN, ExitCause.PEERS_GONE, ExitCause.ALONE,
            ExitCause.OTHER, null,
            -> {
                log.info("{} was refused on {}: {}", attempt.id, machine.id, seen.cause)
                FailureBackoff.onRefused(machine, job, now, timing)
            }
        }
        remove(attempt)
    }

    /** A result of an attempt that we had given up: it counts if its task isn't placed again. */
    private fun adoptUnknownResult(
        task: TaskStatus,
        now: Long,
    ) {
        if (task.state != TaskState.EXITED || task.cause != ExitCause.DONE) return
        val job = jobs[task.attempt.task.job] ?: return
        val index = task.attempt.task.index
        if (job.phase != Phase.ACTIVE || index >= job.spec.tasks || job.done.get(index) || index in job.attempts) return
        job.markDone(index, now)
        planWanted = true
    }

    /** What the machine should be told, computed afresh from what is wanted and what it last showed. */
    fun commands(
        machine: Machine,
        now: Long,
    ): List<WorkerCommand> {
        val result = ArrayList<WorkerCommand>()
        for (attempt in machine.attempts.values) {
            val seen = machine.tasks[attempt.id]
            when {
                seen == null -> if (attempt.committed) addStart(machine, attempt, now, result)
                seen.state == TaskState.EXITED -> Unit
                !attempt.isWanted -> stop(attempt, seen)?.let(result::add)
            }
        }
        for (task in machine.tasks.values) {
            if (task.attempt in machine.attempts) continue
            when {
                task.state != TaskState.EXITED -> result.add(WorkerCommand.Stop(task.attempt, 0.0))
                mayForget(machine, task.attempt) -> result.add(WorkerCommand.Forget(task.attempt))
            }
        }
        return result
    }

    /** All that may be said without the right to decide: a cancelled job's tasks have to end, whoever leads. */
    fun cancelledStops(machine: Machine): List<WorkerCommand> =
        machine.attempts.values
            .filter { it.job.phase == Phase.CANCELLED && it.seen != null && it.seen != TaskState.EXITED }
            .map { WorkerCommand.Stop(it.id, 0.0) }

    private fun addStart(
        machine: Machine,
        attempt: TaskAttempt,
        now: Long,
        result: ArrayList<WorkerCommand>,
    ) {
        if (attempt.isWanted) {
            // Its next report will show our token, and then it is settled whether this one is still to run.
            val waits = attempt.inherited && limits.isOverQuota(attempt.job.spec.team, jobs.values, now)
            if (!waits) result.add(WorkerCommand.Start(attempt.id))
            return
        }
        // A direct start may still be on its way, and a stop alone would be too early for it. Started and stopped
        // at once, the attempt stays known as exited, and the late copy has no effect.
        val cancelledAt = attempt.job.cancelledAt
        val inTime = cancelledAt == null || now < cancelledAt + timing.cancelPatienceMs / 2
        if (attempt.id in machine.unresolved && inTime) {
            result.add(WorkerCommand.Start(attempt.id))
            result.add(WorkerCommand.Stop(attempt.id, 0.0))
        }
    }

    private fun stop(
        attempt: TaskAttempt,
        seen: TaskStatus,
    ): WorkerCommand? {
        val spec = attempt.job.spec
        if (attempt.job.phase != Phase.ACTIVE) return WorkerCommand.Stop(attempt.id, 0.0)
        if (seen.state == TaskState.SAVING) return null
        return WorkerCommand.Stop(attempt.id, if (spec.savesWork) spec.saveS else 0.0)
    }

    /** Forgetting makes a repeated start effective again, so no start of the attempt may be on its way. */
    private fun mayForget(
        machine: Machine,
        attempt: AttemptId,
    ): Boolean {
        if (attempt in machine.unresolved || attempt in machine.directInFlight) return false
        val job = jobs[attempt.task.job] ?: return true
        return !job.isStored(attempt)
    }

    /** Proof 4: the present incarnation's lease is over, and no other token can have renewed it. */
    fun expire(
        machine: Machine,
        now: Long,
    ): Boolean {
        if (machine.isLeaseExpired ||
            machine.token != token ||
            !machine.lease.isExpired(now, timing.workerExpiryMs)
        ) {
            return false
        }
        log.info(
            "{} is silent and its lease in incarnation {} is over, counted for {} ms, {} attempts are gone",
            machine.id,
            machine.position.incarnation,
            machine.lease.countsFromMs?.let { now - it },
            machine.attempts.size,
        )
        machine.isLeaseExpired = true
        machine.lease.end()
        machine.unresolved.clear()
        machine.tasks = emptyMap()
        for (attempt in machine.attempts.values.toList()) {
            attempt.answeredAt = null
            remove(attempt)
        }
        planWanted = true
        return true
    }

    /** Proofs 2 and 3: the cloud took it back, lists it as failed, or lists it no more. */
    fun removeMachine(
        id: MachineId,
        why: String,
    ) {
        removed.add(id)
        hasOrphans = true
        val machine = machines[id] ?: return
        log.info("{} is gone: {}, {} attempts with it", id, why, machine.attempts.size)
        for (attempt in machine.attempts.values.toList()) remove(attempt)
        machines.remove(id)
        planWanted = true
    }

    /** Attempts on machines that an earlier proof removed. */
    fun removeOrphans() {
        if (!hasOrphans) return
        hasOrphans = false
        for (job in jobs.values) {
            for (attempt in job.attempts.values.toList()) if (attempt.machine in removed) remove(attempt)
        }
    }

    /** Not before the copy has caught up with our last write: an older event would bring the job back to life. */
    fun forgetFinished(cache: StateCache) {
        jobs.values.removeIf { job ->
            job.phase.isFinal &&
                job.attempts.isEmpty() &&
                job.dirtySince == null &&
                !job.isWriting &&
                (cache.job(job.id)?.version ?: 0) >= job.version
        }
    }

    fun fetching(machine: Machine): Set<ImageName> {
        val result = HashSet<ImageName>()
        for (attempt in machine.attempts.values) {
            val image = attempt.job.spec.image
            val hasItsImage = attempt.seen != null && attempt.seen != TaskState.FETCHING
            if (!hasItsImage && image !in machine.images) result.add(image)
        }
        return result
    }

    private companion object {
        val log = LoggerFactory.getLogger("fleet")
    }
}
