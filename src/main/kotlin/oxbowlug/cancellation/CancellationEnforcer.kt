package oxbowlug.cancellation

import org.slf4j.LoggerFactory
import oxbowlug.cache.StateCache
import oxbowlug.config.Address
import oxbowlug.config.Settings
import oxbowlug.membership.PeerHealth
import oxbowlug.port.Clock
import oxbowlug.port.CloudPort
import oxbowlug.port.CommandOutcome
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
 * Lets a controller that isn't leading enforce cancellations that no leader enforces in time: it probes the workers,
 * stops exactly the cancelled attempts, and releases a machine on which that doesn't succeed in time. A late duplicate
 * of such a stop is harmless, because a cancelled job stays cancelled in every epoch.
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
    private val probes = HashMap<MachineId, MachineProbe>()
    private val releasedMachines = HashSet<MachineId>()
    private var endpoints: Map<MachineId, Address> = emptyMap()
    private var isListing = false
    private var nextListAt = 0L
    private var isReleasing = false
    private var nextReleaseAt = 0L

    /** Time between the releases of two followers: twice the interval of cloud calls at the provider's rate limit. */
    private val releaseStaggerMs = (1000.0 / settings.cloud.rps * 2).toLong()

    /** This controller's index among the followers, which act one after the other; -1 if this controller leads. */
    private fun rank(): Int {
        val leader = cache.leadership?.leader?.label
        return (settings.peers.map { it.label } + self.label).filter { it != leader }.sorted().indexOf(self.label)
    }

    /** Whether the leader is alive and has acknowledged the cancellation; followers then act as late as possible. */
    private fun isHandledByLeader(pending: PendingCancellation): Boolean {
        val leader = cache.leadership?.leader ?: return false
        val isAlive = peerHealth.incarnationOf(leader.label) == leader && peerHealth.isAlive(leader.label)
        return isAlive && leader in pending.acknowledged
    }

    /** Probes workers, stops cancelled attempts and releases machines, where each is due. */
    fun tick() {
        if (cancellations.allPending.isEmpty()) {
            if (probes.isNotEmpty()) probes.clear()
            releasedMachines.clear()
            return
        }
        val now = clock.steadyMs()
        val rank = rank().coerceAtLeast(0)
        val due = cancellations.allPending.filter { !it.isTerminationProven && isDue(it, now, rank) }
        for ((machine, attempts) in attemptsByMachine(due)) probe(machine, attempts, now)
        val toRelease =
            due
                .filter { now - it.confirmedAt > timing.enforceByReleaseAfterMs + rank * releaseStaggerMs }
                .flatMapTo(LinkedHashSet()) { pending ->
                    pending.attempts.filter { (machine, attempts) -> !areProvenAbsent(machine, attempts, now) }.keys
                }
        if (toRelease.isNotEmpty()) releaseMachines(toRelease.take(CloudCodec.MAX_RELEASED), now)
    }

    private fun isDue(
        pending: PendingCancellation,
        now: Long,
        rank: Int,
    ): Boolean {
        val delayMs = if (isHandledByLeader(pending)) timing.enforceByReleaseAfterMs * 3 / 4 else timing.enforceAfterMs
        return now - pending.confirmedAt >= delayMs + rank * timing.enforceStaggerMs
    }

    /**
     * Merges the due attempts of all jobs by machine. Only one probe of a machine is in flight at a time, so with a
     * probe for each job, a machine that holds several cancelled jobs would only be probed for the first one.
     */
    private fun attemptsByMachine(due: List<PendingCancellation>): Map<MachineId, Set<AttemptId>> {
        val result = LinkedHashMap<MachineId, HashSet<AttemptId>>()
        for (pending in due) {
            for ((machine, attempts) in pending.attempts) result.getOrPut(machine, ::HashSet).addAll(attempts)
        }
        return result
    }

    /** A worker's report that attempts are absent counts for [Timing.suspectAfterMs]. */
    private fun areProvenAbsent(
        machine: MachineId,
        attempts: Set<AttemptId>,
        now: Long,
    ): Boolean =
        machine in releasedMachines || probes[machine]?.areAbsent(attempts, now - timing.suspectAfterMs) ?: false

    private fun probe(
        machine: MachineId,
        attempts: Set<AttemptId>,
        now: Long,
    ) {
        if (machine in releasedMachines) return
        val probe = probes.getOrPut(machine, ::MachineProbe)
        if (probe.isInFlight || now < probe.nextProbeAt) return
        val endpoint = endpoints[machine] ?: return refreshEndpoints(now)
        probe.isInFlight = true
        workers.status(endpoint) { heartbeat ->
            val answeredAt = clock.steadyMs()
            probe.nextProbeAt = answeredAt + timing.heartbeatLateMs
            if (heartbeat == null || heartbeat.machine != machine) {
                probe.isInFlight = false
                return@status
            }
            val remaining = presentAttempts(heartbeat, attempts)
            probe.recordAbsence(attempts - remaining.toSet(), answeredAt)
            if (remaining.isEmpty()) probe.isInFlight = false else stop(endpoint, heartbeat, probe, attempts, remaining)
        }
    }

    /** The subset of [attempts] that hasn't exited on the worker, including attempts that it has yet to start. */
    private fun presentAttempts(
        heartbeat: WorkerHeartbeat,
        attempts: Set<AttemptId>,
    ): List<AttemptId> =
        heartbeat.tasks.filter { it.attempt in attempts && it.state != TaskState.EXITED }.map { it.attempt }

    private fun stop(
        endpoint: Address,
        heartbeat: WorkerHeartbeat,
        probe: MachineProbe,
        attempts: Set<AttemptId>,
        remaining: List<AttemptId>,
    ) {
        log.info("cancelled attempts stopped by a follower: attempts={} machine={}", remaining, heartbeat.machine)
        // Uses the token that the worker already knows, so that no leader's token becomes stale.
        val commands = remaining.map { WorkerCommand.Stop(it, 0.0) }
        workers.command(endpoint, heartbeat.token, heartbeat.incarnation, commands) { outcome ->
            probe.isInFlight = false
            probe.nextProbeAt = clock.steadyMs()
            if (outcome is CommandOutcome.Answered && presentAttempts(outcome.heartbeat, attempts).isEmpty()) {
                probe.recordAbsence(attempts, clock.steadyMs())
                probe.nextProbeAt = clock.steadyMs() + timing.heartbeatLateMs
            }
        }
    }

    /** Reads the endpoints of all machines from the provider's list. */
    private fun refreshEndpoints(now: Long) {
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

    private fun releaseMachines(
        machines: List<MachineId>,
        now: Long,
    ) {
        if (isReleasing || now < nextReleaseAt || !budget.tryTake(1.0, now)) return
        isReleasing = true
        log.info("machines released by a follower: machines={} reason=cancelled-work-may-run", machines)
        cloud.releaseMachines(machines) { ok ->
            isReleasing = false
            nextReleaseAt = clock.steadyMs() + timing.retryMs()
            if (ok) releasedMachines.addAll(machines)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cancellation")
    }
}
