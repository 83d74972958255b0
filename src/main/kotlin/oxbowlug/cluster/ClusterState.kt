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
        val old = present.live.values.toList()
        val wasActive = present.phase == Phase.ACTIVE
        val record = JobRecord.decode(value)
        if (present.foreignWrite(record, stored.version, now)) {
            hasOrphans = true
            for (placed in old) machines[placed.machine]?.live?.remove(placed.attempt)
            attachAll(present)
        }
        if (present.phase == Phase.CANCELLED) {
            if (wasActive) {
                if (present.spec.dependsOn.isEmpty()) forecast.leave(present.spec, clock.wallMs())
                val since = cancelledAt(record, now)
                present.cancelledAt = since
                val left = present.live.size
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
        for (placed in job.live.values.toList()) {
            val host = machine(placed.machine)
            if (host == null) remove(placed) else host.live[placed.attempt] = placed
        }
    }

    private fun stopCancelled(job: Job) {
        for (placed in job.live.values.toList()) {
            val host = machines[placed.machine]
            removeOrPush(host, placed)
        }
    }

    /** Placements that were never written, so no start of them was sent; returns how many. */
    fun withdrawUncommitted(job: Job): Int {
        val uncommitted = job.live.values.filter { !it.committed }
        uncommitted.forEach(::remove)
        return uncommitted.size
    }

    fun place(
        job: Job,
        task: Int,
        host: Machine,
    ) {
        // Started before its predecessors' ends are committed, it would run even if one of them is cancelled instead.
        check(job.readyMs != null) { "${job.id} waits for other jobs" }
        val placed = job.place(task, host.id, clock.steadyMs())
        host.live[placed.attempt] = placed
        host.idleSince = null
    }

    fun stop(
        placed: TaskAttempt,
        reason: StopReason,
        target: MachineId? = null,
    ) {
        placed.stop = reason
        placed.target = target
        val host = machines[placed.machine]
        removeOrPush(host, placed)
    }

    private fun removeOrPush(
        host: Machine?,
        placed: TaskAttempt,
    ) {
        val there = host != null && placed.committed && host.mayBeThere(placed, token)
        if (there) pendingPushes.add(placed.machine) else remove(placed)
    }

    /** The attempt is gone, or was never there. */
    private fun remove(placed: TaskAttempt) {
        val now = clock.steadyMs()
        if (placed.target != null) placed.job.movingUntil = now + timing.movingMs
        if (placed.job.live[placed.task] === placed) limits.freed(placed.job.spec.team, placed.job.need)
        placed.job.drop(placed.task, now)
        machines[placed.machine]?.live?.remove(placed.attempt)
        planWanted = true
    }

    /** Proof 1: what the worker itself says. [isHeartbeat] is false for the answers of direct commands. */
    fun applyHeartbeat(
        report: WorkerHeartbeat,
        isHeartbeat: Boolean,
    ): Machine? {
        val host = machine(report.machine) ?: return null
        val now = clock.steadyMs()
        val position = HeartbeatPosition(report.incarnation, report.sequence)
        if (host.lease.hasEnded(report.incarnation)) {
            log.info("{} is heard in incarnation {}, which has ended", host.id, report.incarnation)
            return host
        }
        host.lease.onIncarnationObserved(report.incarnation, now)
        if (isHeartbeat) {
            // A copy of an older report renews nothing and proves nothing.
            if (position <= host.lastHeartbeat) return host
            host.lastHeartbeat = position
            host.lease.renewed(now)
        }
        if (position <= host.position) return host
        if (report.incarnation > host.position.incarnation || report.token > host.token) {
            // Direct commands carry incarnation and token, so those of an earlier one can't be executed any more.
            host.unresolved.clear()
        }
        val firstHeard = host.lastContactAt == null
        host.position = position
        host.token = report.token
        host.lastContactAt = now
        host.isLeaseExpired = false
        host.type = report.type
        host.zone = report.zone
        host.spot = report.spot
        host.endpoint = Address.parse(report.endpoint)
        host.noticeUntil = report.noticeS?.let { now + (it * 1000).toLong() }
        host.tasks = report.tasks.associateBy { it.attempt }
        if (firstHeard) planWanted = true
        applyTasks(host, position, isHeartbeat, now)
        return host
    }

    private fun applyTasks(
        host: Machine,
        position: HeartbeatPosition,
        isHeartbeat: Boolean,
        now: Long,
    ) {
        val settled = host.isSettled(token)
        for (placed in host.live.values.toList()) {
            val seen = host.tasks[placed.attempt]
            if (seen != null) {
                placed.answeredAt = null
                placed.inherited = false
                host.unresponsiveUntil = 0L
                applyTaskStatus(host, placed, seen, now)
                continue
            }
            val isAbsent = settled && placed.inherited
            if (settled) placed.inherited = false
            val answered = placed.answeredAt
            // One report is in flight at a time: after a newer one, an older answer is executed or dropped for good.
            if (isHeartbeat && answered != null && position > answered) placed.answeredAt = null
            placed.seen = null
            if (host.mayBeThere(placed, token)) continue
            if (!placed.isWanted || isAbsent && limits.isOverQuota(placed.job.spec.team, jobs.values, now)) {
                // The former leader saw it end and gave its room away, but ended before it had stored the end.
                remove(placed)
            } else if (isHeartbeat && placed.isOverdue(now, timing.workerLeaseRawMs)) {
                // Its reports arrive, but what we say does not: the work goes elsewhere.
                log.info("{} does not take {}", host.id, placed.attempt)
                host.unresponsiveUntil = now + timing.unresponsiveMs
                remove(placed)
            }
        }
        for (task in host.tasks.values) {
            if (task.attempt in host.live) continue
            adoptUnknownResult(task, now)
            if (settled) requireOnePlace(host, task)
        }
    }

    /** What the account gave up, by a proof, must not turn up beside the attempt that was placed after it. */
    private fun requireOnePlace(
        host: Machine,
        task: TaskStatus,
    ) {
        if (task.state != TaskState.RUNNING) return
        val placed = jobs[task.attempt.task.job]?.live?.get(task.attempt.task.index) ?: return
        if (placed.machine == host.id || placed.seen != TaskState.RUNNING) return
        val what = "${task.attempt} runs on ${host.id} and ${placed.attempt} on ${placed.machine}"
        invariants.violated(Invariant.ONE_PLACE_A_TASK, what)
    }

    private fun applyTaskStatus(
        host: Machine,
        placed: TaskAttempt,
        seen: TaskStatus,
        now: Long,
    ) {
        val job = placed.job
        if (seen.state == TaskState.RUNNING && placed.seen != TaskState.RUNNING) {
            placed.seenRunningAt = now
            host.images.remove(job.spec.image)
            host.images.add(job.spec.image)
        }
        placed.seen = seen.state
        if (seen.state != TaskState.EXITED) return
        when (seen.cause) {
            ExitCause.DONE -> {
                host.images.add(job.spec.image)
                host.failedJobs.clear()
                job.failures = 0
                job.markDone(placed.task, now)
            }
            ExitCause.STOPPED -> Unit
            ExitCause.ERROR -> FailureBackoff.onError(host, job, now, timing)
            ExitCause.FULL, ExitCause.BUSY, ExitCause.UNKNOWN, ExitCause.PEERS_GONE, ExitCause.ALONE,
            ExitCause.OTHER, null,
            -> {
                log.info("{} was refused on {}: {}", placed.attempt, host.id, seen.cause)
                FailureBackoff.onRefused(host, job, now, timing)
            }
        }
        remove(placed)
    }

    /** A result of an attempt that we had given up: it counts if its task isn't placed again. */
    private fun adoptUnknownResult(
        task: TaskStatus,
        now: Long,
    ) {
        if (task.state != TaskState.EXITED || task.cause != ExitCause.DONE) return
        val job = jobs[task.attempt.task.job] ?: return
        val index = task.attempt.task.index
        if (job.phase != Phase.ACTIVE || index >= job.spec.tasks || job.done.get(index) || index in job.live) return
        job.markDone(index, now)
        planWanted = true
    }

    /** What the machine should be told, computed afresh from what is wanted and what it last showed. */
    fun commands(
        host: Machine,
        now: Long,
    ): List<WorkerCommand> {
        val result = ArrayList<WorkerCommand>()
        for (placed in host.live.values) {
            val seen = host.tasks[placed.attempt]
            when {
                seen == null -> if (placed.committed) addStart(host, placed, now, result)
                seen.state == TaskState.EXITED -> Unit
                !placed.isWanted -> stop(placed, seen)?.let(result::add)
            }
        }
        for (task in host.tasks.values) {
            if (task.attempt in host.live) continue
            when {
                task.state != TaskState.EXITED -> result.add(WorkerCommand.Stop(task.attempt, 0.0))
                mayForget(host, task.attempt) -> result.add(WorkerCommand.Forget(task.attempt))
            }
        }
        return result
    }

    /** All that may be said without the right to decide: a cancelled job's tasks have to end, whoever leads. */
    fun cancelledStops(host: Machine): List<WorkerCommand> =
        host.live.values
            .filter { it.job.phase == Phase.CANCELLED && it.seen != null && it.seen != TaskState.EXITED }
            .map { WorkerCommand.Stop(it.attempt, 0.0) }

    private fun addStart(
        host: Machine,
        placed: TaskAttempt,
        now: Long,
        result: ArrayList<WorkerCommand>,
    ) {
        if (placed.isWanted) {
            // Its next report will show our token, and then it is settled whether this one is still to run.
            val waits = placed.inherited && limits.isOverQuota(placed.job.spec.team, jobs.values, now)
            if (!waits) result.add(WorkerCommand.Start(placed.attempt))
            return
        }
        // A direct start may still be on its way, and a stop alone would be too early for it. Started and stopped
        // at once, the attempt stays known as exited, and the late copy has no effect.
        val cancelledAt = placed.job.cancelledAt
        val inTime = cancelledAt == null || now < cancelledAt + timing.cancelPatienceMs / 2
        if (placed.attempt in host.unresolved && inTime) {
            result.add(WorkerCommand.Start(placed.attempt))
            result.add(WorkerCommand.Stop(placed.attempt, 0.0))
        }
    }

    private fun stop(
        placed: TaskAttempt,
        seen: TaskStatus,
    ): WorkerCommand? {
        val spec = placed.job.spec
        if (placed.job.phase != Phase.ACTIVE) return WorkerCommand.Stop(placed.attempt, 0.0)
        if (seen.state == TaskState.SAVING) return null
        return WorkerCommand.Stop(placed.attempt, if (spec.savesWork) spec.saveS else 0.0)
    }

    /** Forgetting makes a repeated start effective again, so no start of the attempt may be on its way. */
    private fun mayForget(
        host: Machine,
        attempt: AttemptId,
    ): Boolean {
        if (attempt in host.unresolved || attempt in host.directInFlight) return false
        val job = jobs[attempt.task.job] ?: return true
        return !job.isStored(attempt)
    }

    /** Proof 4: the present incarnation's lease is over, and no other token can have renewed it. */
    fun expire(
        host: Machine,
        now: Long,
    ): Boolean {
        if (host.isLeaseExpired ||
            host.token != token ||
            !host.lease.isExpired(now, timing.workerExpiryMs)
        ) {
            return false
        }
        log.info(
            "{} is silent and its lease in incarnation {} is over, counted for {} ms, {} attempts are gone",
            host.id,
            host.position.incarnation,
            host.lease.countsFromMs?.let { now - it },
            host.live.size,
        )
        host.isLeaseExpired = true
        host.lease.end()
        host.unresolved.clear()
        host.tasks = emptyMap()
        for (placed in host.live.values.toList()) {
            placed.answeredAt = null
            remove(placed)
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
        val host = machines[id] ?: return
        log.info("{} is gone: {}, {} attempts with it", id, why, host.live.size)
        for (placed in host.live.values.toList()) remove(placed)
        machines.remove(id)
        planWanted = true
    }

    /** Attempts on machines that an earlier proof removed. */
    fun removeOrphans() {
        if (!hasOrphans) return
        hasOrphans = false
        for (job in jobs.values) {
            for (placed in job.live.values.toList()) if (placed.machine in removed) remove(placed)
        }
    }

    /** Not before the copy has caught up with our last write: an older event would bring the job back to life. */
    fun forgetFinished(cache: StateCache) {
        jobs.values.removeIf { job ->
            job.phase.isFinal &&
                job.live.isEmpty() &&
                job.dirtySince == null &&
                !job.isWriting &&
                (cache.job(job.id)?.version ?: 0) >= job.version
        }
    }

    fun fetching(host: Machine): Set<ImageName> {
        val result = HashSet<ImageName>()
        for (placed in host.live.values) {
            val image = placed.job.spec.image
            val hasItsImage = placed.seen != null && placed.seen != TaskState.FETCHING
            if (!hasItsImage && image !in host.images) result.add(image)
        }
        return result
    }

    private companion object {
        val log = LoggerFactory.getLogger("fleet")
    }
}
