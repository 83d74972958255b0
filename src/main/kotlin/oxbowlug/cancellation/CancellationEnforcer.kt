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
 * What a controller that doesn't lead does about cancelled work that no leader enforces: it asks the worker,
 * stops exactly the cancelled attempts there, and releases the machine where that fails in time. Late duplicates of
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
    private val probes = HashMap<MachineId, MachineProbe>()
    private val released = HashSet<MachineId>()
    private var endpoints: Map<MachineId, Address> = emptyMap()
    private var isListing = false
    private var nextListAt = 0L
    private var isReleasing = false
    private var nextReleaseAt = 0L
    private val callMs = (1000.0 / settings.cloud.rps * 2).toLong()

    /** This controller's place among those that don't lead, so that they act one after the other. */
    private fun rank(): Int {
        val leader = cache.leadership?.leader?.label
        return (settings.peers.map { it.label } + self.label).filter { it != leader }.sorted().indexOf(self.label)
    }

    /** The leader knows of it and is alive: it has until the last moment. */
    private fun isHandledByLeader(pending: PendingCancellation): Boolean {
        val leader = cache.leadership?.leader ?: return false
        val isAlive = peerHealth.incarnationOf(leader.label) == leader && peerHealth.isAlive(leader.label)
        return isAlive && leader in pending.acknowledged
    }

    /** Probes workers, stops attempts and releases machines, as far as each is due. */
    fun tick() {
        if (cancellations.allPending.isEmpty()) {
            if (probes.isNotEmpty()) probes.clear()
            released.clear()
            return
        }
        val now = clock.steadyMs()
        val rank = rank().coerceAtLeast(0)
        val due = cancellations.allPending.filter { !it.isTerminationProven && isDue(it, now, rank) }
        for ((machine, attempts) in attemptsByMachine(due)) probe(machine, attempts, now)
        val toRelease =
            due
                .filter { now - it.confirmedAt > timing.enforceByReleaseAfterMs + rank * callMs }
                .flatMapTo(LinkedHashSet()) { pending ->
                    pending.attempts.filter { (machine, attempts) -> !areProvenAbsent(machine, attempts, now) }.keys
                }
        if (toRelease.isNotEmpty()) releaseMachines(toRelease.take(CloudCodec.MAX_RETURNED), now)
    }

    private fun isDue(
        pending: PendingCancellation,
        now: Long,
        rank: Int,
    ): Boolean {
        val fromMs = if (isHandledByLeader(pending)) timing.enforceByReleaseAfterMs * 3 / 4 else timing.enforceAfterMs
        return now - pending.confirmedAt >= fromMs + rank * timing.enforceStaggerMs
    }

    /** All at once: asked about one job after the other, a machine that holds many would be asked about the first. */
    private fun attemptsByMachine(due: List<PendingCancellation>): Map<MachineId, Set<AttemptId>> {
        val result = LinkedHashMap<MachineId, HashSet<AttemptId>>()
        for (pending in due) {
            for ((machine, attempts) in pending.attempts) result.getOrPut(machine, ::HashSet).addAll(attempts)
        }
        return result
    }

    private fun areProvenAbsent(
        machine: MachineId,
        attempts: Set<AttemptId>,
        now: Long,
    ): Boolean = machine in released || probes[machine]?.areAbsent(attempts, now - timing.suspectAfterMs) ?: false

    private fun probe(
        machine: MachineId,
        attempts: Set<AttemptId>,
        now: Long,
    ) {
        if (machine in released) return
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

    /** Those of the attempts that are there, or that a start is about to bring there. */
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
        // With the token that it knows already, so that no leader's token is superseded.
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

    /** The addresses of all machines, from the provider's list. */
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
            if (ok) released.addAll(machines)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cancellation")
    }
}
