package oxbowlug.scheduling

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Machine
import oxbowlug.cluster.TaskAttempt
import oxbowlug.plan.PlacedTask
import oxbowlug.plan.PlanMachine
import oxbowlug.resource.Resources
import oxbowlug.resource.fetchS
import oxbowlug.scaling.PendingRental
import oxbowlug.timing.Timing
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineState
import oxbowlug.wire.MachineType
import oxbowlug.wire.Priority
import oxbowlug.wire.ReportSize
import oxbowlug.wire.TaskState
import oxbowlug.wire.TaskStatus
import oxbowlug.wire.TypeName

/** Builds the machines of a planner snapshot with their free resources: known machines and those of pending rentals. */
internal class AvailableMachines(
    private val cluster: ClusterState,
    private val timing: Timing,
    private val weights: ClassWeights,
    private val termStartedAt: Long,
) {
    /** The planner's view of [machine], or null if no task may be placed there. */
    fun of(
        machine: Machine,
        types: Map<TypeName, MachineType>,
        zoneTaskCounts: ZoneTaskCounts,
        reservedForMoves: Map<MachineId, Resources>,
        now: Long,
    ): PlanMachine? {
        val type = types[machine.type ?: return null] ?: return null
        val zone = machine.zone ?: return null
        val isUnschedulable =
            machine.isReleasing ||
                machine.isDraining ||
                machine.isQuarantined ||
                now < machine.unresponsiveUntil ||
                machine.isLeaseExpired
        if (isUnschedulable || machine.noticeUntil != null) return null
        val readyInS = readyInS(machine, type, now) ?: return null
        return PlanMachine(
            id = machine.id,
            type = type,
            zone = zone,
            spot = machine.spot,
            free = machine.free(type, unmanagedUsage(machine)) - (reservedForMoves[machine.id] ?: Resources.NONE),
            readyInS = readyInS,
            images = machine.images,
            fetching = machine.fetching(),
            isEmpty = machine.attempts.isEmpty(),
            stoppingUsage = usageOfUnwantedAttempts(machine),
            placedTasks =
                lazy(LazyThreadSafetyMode.NONE) {
                    machine.attempts.values.map { tenant(it, type, zoneTaskCounts, now) }
                },
            lowestPriority = lowestPriority(machine),
        )
    }

    /** Seconds until [machine] can take work: 0 if it can now, null if no work may be planned for it. */
    private fun readyInS(
        machine: Machine,
        type: MachineType,
        now: Long,
    ): Double? {
        val lastContactAt = machine.lastContactAt
        if (lastContactAt != null) {
            if (now - lastContactAt > timing.heartbeatLateMs) return null
            // Until the worker's heartbeat carries a token of this leader, it may execute a former leader's starts.
            return if (machine.token in cluster.tokens) 0.0 else MIN_DELAY_S
        }
        if (machine.listed == MachineState.RUNNING) {
            // A running machine's first heartbeat to this leader is expected within one worker lease.
            return if (now - maxOf(termStartedAt, machine.firstSeenAt) < timing.workerLeaseTtlMs) MIN_DELAY_S else null
        }
        return maxOf(MIN_DELAY_S, type.bootS - (now - machine.rentedAt) / 1000.0)
    }

    /**
     * Resources of the tasks that the worker still reports although their attempts were removed. They stay in use until
     * these tasks exit, and their place in the worker's heartbeats until it has forgotten them.
     */
    fun unmanagedUsage(machine: Machine): Resources {
        var sum = Resources.NONE
        for (task in machine.tasks.values) {
            if (task.attempt in machine.attempts) continue
            val need = cluster.jobs[task.attempt.task.job]?.need
            sum += if (task.state == TaskState.EXITED || need == null) reportEntry(task) else need
        }
        return sum
    }

    private fun reportEntry(task: TaskStatus) =
        Resources(0.0, 0.0, 0.0, ReportSize.taskBytes(task.attempt.task.job).toDouble())

    /**
     * Resources on each target machine for the tasks that are being stopped to move there. If another task took them,
     * the moved task would have no place.
     */
    fun reservedForMoves(): Map<MachineId, Resources> {
        val result = HashMap<MachineId, Resources>()
        for (job in cluster.jobs.values) {
            for (attempt in job.attempts.values) {
                val moveTarget = attempt.moveTarget ?: continue
                if (attempt.stopReason != null) result.merge(moveTarget, job.need, Resources::plus)
            }
        }
        return result
    }

    private fun usageOfUnwantedAttempts(machine: Machine): Resources {
        var sum = Resources.NONE
        for (attempt in machine.attempts.values) if (!attempt.isWanted) sum += attempt.job.need
        return sum
    }

    /** The lowest priority among the wanted attempts, or null if there is none. Lower priorities compare greater. */
    private fun lowestPriority(machine: Machine): Priority? {
        var least: Priority? = null
        for (attempt in machine.attempts.values) {
            val priority = attempt.job.priority
            if (attempt.isWanted && (least == null || priority > least)) least = priority
        }
        return least
    }

    private fun tenant(
        attempt: TaskAttempt,
        type: MachineType,
        zoneTaskCounts: ZoneTaskCounts,
        now: Long,
    ): PlacedTask {
        val spec = attempt.job.spec
        val ranS = if (attempt.workerState == TaskState.RUNNING) (now - attempt.runningSince) / 1000.0 else 0.0
        return PlacedTask(
            attempt = attempt.id,
            spec = spec,
            tasksByZone = zoneTaskCounts.of(attempt.job),
            ranS = ranS,
            fetchS = type.fetchS(spec),
            weight = weights.of(spec.className),
            stopping = !attempt.isWanted,
            priority = attempt.job.priority,
        )
    }

    /** The machines of a rental that the cloud hasn't answered yet. */
    fun ofPendingRental(
        rental: PendingRental,
        types: Map<TypeName, MachineType>,
        now: Long,
    ): List<PlanMachine> {
        val request = rental.request
        val type = types[request.type] ?: return emptyList()
        val readyInS = maxOf(MIN_DELAY_S, type.bootS - (now - rental.firstRequestedAt) / 1000.0)
        return List(request.count) { PlanMachine.forRental(type, request.zone, request.spot, readyInS) }
    }

    private companion object {
        /** The least delay of a machine that isn't ready yet. With 0, the planner would start tasks there now. */
        const val MIN_DELAY_S = 1.0
    }
}
