package oxbowlug.scheduling

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Job
import oxbowlug.cluster.Machine
import oxbowlug.cluster.StopReason
import oxbowlug.cluster.TaskAttempt
import oxbowlug.config.Settings
import oxbowlug.plan.Plan
import oxbowlug.plan.PlanMachine
import oxbowlug.plan.PlanTeam
import oxbowlug.plan.Snapshot
import oxbowlug.port.Clock
import oxbowlug.record.Phase
import oxbowlug.record.WritableFormat
import oxbowlug.resource.Resources
import oxbowlug.scaling.MachineScaler
import oxbowlug.timing.Timing
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobKind
import oxbowlug.wire.MachineType
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName

/**
 * One round of scheduling: turns the cluster state into the planner's snapshot, and the plan into attempts, stops and
 * rentals. The leader's planning loop decides when a round is due.
 */
internal class SchedulingRound(
    private val settings: Settings,
    private val clock: Clock,
    private val timing: Timing,
    private val cluster: ClusterState,
    private val scaler: MachineScaler,
    termStartedAt: Long,
    writableFormat: () -> WritableFormat,
) {
    private val policy = settings.policy
    private val weights = ClassWeights(settings)
    private val recordCapacity = RecordCapacity(settings, cluster, writableFormat)
    private val pendingJobs = PendingJobs(cluster, clock, weights, recordCapacity)
    private val availableMachines = AvailableMachines(cluster, timing, weights, termStartedAt)

    /** The planner's input, taken from the present cluster state. [mayMove] allows moves that only consolidate. */
    fun snapshot(
        types: Map<TypeName, MachineType>,
        mayMove: Boolean,
    ): Snapshot {
        val now = clock.steadyMs()
        InheritedPriority.update(cluster.jobs, types.values, timing.pipelineStageOverheadMs)
        val teams = teams()
        recordCapacity.updateMachineNameBytes()
        val machines = ArrayList<PlanMachine>(cluster.machines.size)
        val zoneTaskCounts = ZoneTaskCounts(cluster, settings.zones)
        val reservedForMoves = availableMachines.reservedForMoves()
        for (machine in cluster.machines.values) {
            availableMachines.of(machine, types, zoneTaskCounts, reservedForMoves, now)?.let(machines::add)
        }
        for (rental in scaler.pendingRentals) machines.addAll(availableMachines.ofPendingRental(rental, types, now))
        return Snapshot(
            jobs =
                cluster.jobs.values.mapNotNull { pendingJobs.of(it, teams, zoneTaskCounts, now) } +
                    pendingJobs.forecastReservations(types, teams),
            machines = machines,
            teams = teams,
            types = types.values.toList(),
            refusals = scaler.capacityRefusals(now),
            horizonS = policy.replanS,
            postponeFactor = policy.postponeFactor,
            idleSlotPenalty = policy.idleSlotPenalty,
            maxRentals = if (scaler.hasInventory) scaler.remainingRentals() else 0,
            resourcesPerGpu = resourcesPerGpu(),
            settledS = timing.settledS,
            mayMove = mayMove,
            guaranteeWeight = weights.guarantee,
        )
    }

    private fun teams(): Map<TeamName, PlanTeam> {
        val teams =
            settings.teams.mapValues { (_, team) ->
                PlanTeam(team.maxCores, team.maxGpus, team.guaranteedCores, team.guaranteedGpus)
            }
        for (job in cluster.jobs.values) {
            val need = job.need
            val team = teams[job.spec.team] ?: continue
            for (attempt in job.attempts.values) {
                team.add(need)
                if (!attempt.isWanted) team.addStopping(need)
            }
        }
        return teams
    }

    /** The most cores and memory that any active GPU job needs beside each GPU. */
    private fun resourcesPerGpu(): Resources {
        var cores = 0.0
        var memoryGb = 0.0
        for (job in cluster.jobs.values) {
            val spec = job.spec
            if (spec.gpus <= 0.0 || job.phase != Phase.ACTIVE) continue
            cores = maxOf(cores, spec.cores / spec.gpus)
            memoryGb = maxOf(memoryGb, spec.memoryGb / spec.gpus)
        }
        return Resources(cores, 0.0, memoryGb)
    }

    /** The summed tardiness weights of the service replicas on [machine], for each second that they are down. */
    fun replicaWeight(machine: Machine): Double =
        machine.attempts.values
            .filter { it.isWanted && it.job.spec.kind == JobKind.SERVICE }
            .sumOf { weights.of(it.job.spec.className) }

    /**
     * Whether the wanted attempts on [machines] would fit on ready machines that aren't spot. The need is multiplied by
     * [HEADROOM_FACTOR], because free capacity is fragmented over many machines.
     */
    fun hasRoomFor(
        machines: List<Machine>,
        types: Map<TypeName, MachineType>,
    ): Boolean {
        var need = Resources.NONE
        for (machine in machines) {
            for (attempt in machine.attempts.values) if (attempt.isWanted) need += attempt.job.need
        }
        var free = Resources.NONE
        val now = clock.steadyMs()
        for (machine in cluster.machines.values) {
            val type = types[machine.type] ?: continue
            val isReady =
                !machine.isReleasing && machine.lastContactAt?.let { now - it <= timing.heartbeatLateMs } ?: false
            if (isReady && !machine.spot) free += machine.free(type, availableMachines.unmanagedUsage(machine))
        }
        return (need * HEADROOM_FACTOR).fitsIn(free)
    }

    /**
     * Applies [plan] to the cluster state and requests its rentals. No command is sent to a worker here: a start is
     * sent once the job's record is stored, a stop with the next flush.
     */
    fun apply(plan: Plan) {
        val placedJobs = LinkedHashSet<Job>()
        for (start in plan.starts) {
            val job = cluster.jobs[start.job] ?: continue
            val machine = cluster.machines[start.machine] ?: continue
            cluster.place(job, start.task, machine)
            placedJobs.add(job)
        }
        for (job in placedJobs) job.advanceAttemptNumber()
        for (id in plan.stops) {
            val attempt = currentAttempt(id) ?: continue
            cluster.stop(attempt, StopReason.PREEMPTED, plan.targets[id])
        }
        plan.move?.let { move ->
            cluster.machines[move.machine]?.isDraining = true
            for ((id, target) in move.targets) {
                val attempt = currentAttempt(id) ?: continue
                cluster.stop(attempt, StopReason.DRAINED, target)
            }
        }
        for ((kind, count) in plan.rentals) scaler.rent(kind, count)
    }

    /** The attempt [id], or null if its task has no attempt or another one by now. */
    private fun currentAttempt(id: AttemptId): TaskAttempt? =
        cluster.jobs[id.task.job]
            ?.attempts
            ?.get(id.task.index)
            ?.takeIf { it.id == id }

    private companion object {
        const val HEADROOM_FACTOR = 2.0
    }
}
