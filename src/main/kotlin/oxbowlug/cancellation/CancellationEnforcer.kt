package oxbowlug.cancellation

import org.slf4j.LoggerFactory
import oxbowlug.cache.StateCache
import oxbowlug.config.Address
import oxbowlug.config.Settings
import oxbowlug.membership.PeerHealth
import oxbowlug.port.Clock
import oxbowlug.port.CloudPort
import oxbowlug.port.DirectOutcome
import oxbowlug.port.WorkerPort
import oxbowlug.record.Member
import oxbowlug.timing.Timing
import oxbowlug.timing.TokenBucket
import oxbowlug.wire.AttemptId
import oxbowlug.wire.CloudCodec
import oxbowlug.wire.MachineId
import oxbowlug.wire.TaskState
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat

/**
 * What a controller that doesn't lead does about cancelled work that nobody entitled sees to: it asks the machine,
 * stops exactly the cancelled attempts there, and returns the machine where that can't be had in time. Late copies of
 * such stops harm nothing, since cancelled is final under every epoch.
 */
internal class CancellationEnforcer(
    private val self: Member,
    private val settings: Settings,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
    private val cancellations: CancellationTracker,
    private val peerHealth: PeerHealth,
    private val cloud: CloudPort,
    private val workers: WorkerPort,
    private val budget: TokenBucket,
) {
    private class Watched {
        var isAsking = false
        var nextAt = 0L
        private var clearOf: Set<AttemptId> = emptySet()
        private var clearAt = 0L

        /** At [atMs] it said that none of [attempts] is there. */
        fun saidClearOf(
            attempts: Set<AttemptId>,
            atMs: Long,
        ) {
            clearOf = attempts
            clearAt = atMs
        }

        /**
         * What it said of one job's attempts says nothing of another's: taken for that, cancelled tasks on a shared
         * machine ran on, and the machine was kept.
         */
        fun isClearOf(
            attempts: Set<AttemptId>,
            sinceMs: Long,
        ): Boolean = clearAt > sinceMs && clearOf.containsAll(attempts)
    }

    private val watched = HashMap<MachineId, Watched>()
    private val returned = HashSet<MachineId>()
    private var endpoints: Map<MachineId, Address> = emptyMap()
    private var isListing = false
    private var nextListAt = 0L
    private var isReturning = false
    private var nextReturnAt = 0L
    private val callMs = (1000.0 / settings.cloud.rps * 2).toLong()

    /** Among those that don't lead, so that they act one after the other. */
    private fun rank(): Int {
        val leader = cache.leadership?.leader?.label
        return (settings.peers.map { it.label } + self.label).filter { it != leader }.sorted().indexOf(self.label)
    }

    /** The leader knows of it and is heard: it has until the last moment. */
    private fun isHandledByLeader(pending: CancellationTracker.PendingCancellation): Boolean {
        val leader = cache.leadership?.leader ?: return false
        val isAlive = peerHealth.incarnationOf(leader.label) == leader && peerHealth.isAlive(leader.label)
        return isAlive && leader in pending.acknowledged
    }

    fun tick() {
        if (cancellations.open.isEmpty()) {
            if (watched.isNotEmpty()) watched.clear()
            returned.clear()
            return
        }
        val now = clock.steadyMs()
        val rank = rank().coerceAtLeast(0)
        val due = cancellations.open.filter { !it.isTerminationProven && isDue(it, now, rank) }
        for ((machine, attempts) in attemptsByMachine(due)) look(machine, attempts, now)
        val toRelease =
            due
                .filter { now - it.confirmedAt > timing.enforceByReleaseLatestMs + rank * callMs }
                .flatMapTo(LinkedHashSet()) { pending -> pending.attempts.filter { !isClear(it, now) }.keys }
        if (toRelease.isNotEmpty()) returnMachines(toRelease.take(CloudCodec.MAX_RETURNED), now)
    }

    private fun isDue(
        pending: CancellationTracker.PendingCancellation,
        now: Long,
        rank: Int,
    ): Boolean {
        val fromMs = if (isHandledByLeader(pending)) timing.enforceByReleaseLatestMs * 3 / 4 else timing.enforceAfterMs
        return now - pending.confirmedAt >= fromMs + rank * timing.enforceStepMs
    }

    /** All at once: asked about one job after the other, a machine that holds many would be asked about the first. */
    private fun attemptsByMachine(due: List<CancellationTracker.PendingCancellation>): Map<MachineId, Set<AttemptId>> {
        val result = LinkedHashMap<MachineId, HashSet<AttemptId>>()
        for (pending in due) {
            for ((machine, attempts) in pending.attempts) result.getOrPut(machine, ::HashSet).addAll(attempts)
        }
        return result
    }

    private fun isClear(
        placed: Map.Entry<MachineId, Set<AttemptId>>,
        now: Long,
    ): Boolean = placed.key in returned || watched[placed.key]?.isClearOf(placed.value, now - timing.suspectMs) ?: false

    private fun look(
        machine: MachineId,
        attempts: Set<AttemptId>,
        now: Long,
    ) {
        if (machine in returned) return
        val watch = watched.getOrPut(machine, ::Watched)
        if (watch.isAsking || now < watch.nextAt) return
        val endpoint = endpoints[machine] ?: return list(now)
        watch.isAsking = true
        workers.status(endpoint) { report ->
            val answeredAt = clock.steadyMs()
            watch.nextAt = answeredAt + timing.heartbeatLateMs
            if (report == null || report.machine != machine) {
                watch.isAsking = false
                return@status
            }
            val left = shown(report, attempts)
            watch.saidClearOf(attempts - left.toSet(), answeredAt)
            if (left.isEmpty()) watch.isAsking = false else stop(endpoint, report, watch, attempts, left)
        }
    }

    /** Those of the attempts that are there, or that a start is about to bring there. */
    private fun shown(
        report: WorkerHeartbeat,
        attempts: Set<AttemptId>,
    ): List<AttemptId> =
        report.tasks.filter { it.attempt in attempts && it.state != TaskState.EXITED }.map { it.attempt }

    private fun stop(
        endpoint: Address,
        report: WorkerHeartbeat,
        watch: Watched,
        attempts: Set<AttemptId>,
        left: List<AttemptId>,
    ) {
        log.info("stopping {} on {}, since nobody else does", left, report.machine)
        // With the token that it knows already, so that nobody's authority is touched.
        val commands = left.map { WorkerCommand.Stop(it, 0.0) }
        workers.command(endpoint, report.token, report.incarnation, commands) { outcome ->
            watch.isAsking = false
            watch.nextAt = clock.steadyMs()
            if (outcome is DirectOutcome.Answered && shown(outcome.report, attempts).isEmpty()) {
                watch.saidClearOf(attempts, clock.steadyMs())
                watch.nextAt = clock.steadyMs() + timing.heartbeatLateMs
            }
        }
    }

    private fun list(now: Long) {
        if (isListing || now < nextListAt || !budget.tryTake(1.0, now)) return
        isListing = true
        cloud.list { machines ->
            isListing = false
            nextListAt = clock.steadyMs() + timing.machineListIntervalMs
            if (machines == null) return@list
            endpoints =
                machines
                    .mapNotNull { listed ->
                        Address.parse(listed.endpoint)?.let { listed.id to it }
                    }.toMap()
        }
    }

    private fun returnMachines(
        machines: List<MachineId>,
        now: Long,
    ) {
        if (isReturning || now < nextReturnAt || !budget.tryTake(1.0, now)) return
        isReturning = true
        log.info("returning {}: they may hold cancelled work, and nobody else sees to it", machines)
        cloud.returnMachines(machines) { ok ->
            isReturning = false
            nextReturnAt = clock.steadyMs() + timing.retryMs()
            if (ok) returned.addAll(machines)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cancellations")
    }
}
