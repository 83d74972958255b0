package oxbowlug.scheduling

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Machine
import oxbowlug.cluster.TaskAttempt
import oxbowlug.plan.PlanMachine
import oxbowlug.plan.PlacedTask
import oxbowlug.resource.Resources
import oxbowlug.resource.fetchS
import oxbowlug.scaling.PendingRental
import oxbowlug.timing.Timing
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineState
import oxbowlug.wire.MachineType
import oxbowlug.wire.Priority
import oxbowlug.wire.TaskState
import oxbowlug.wire.TypeName

/** The machines of a snapshot with their free room: those that are there, and those that are ordered. */
internal class AvailableMachines(
    private val cluster: ClusterState,
    private val timing: Timing,
    private val weights: ClassWeights,
    private val termStartedAt: Long,
) {
    /** [machine] as the planner sees it, or null if nothing may be placed there. */
    fun of(
        machine: Machine,
        types: Map<TypeName, MachineType>,
        zoneTaskCounts: ZoneTaskCounts,
        reservedForMoves: Map<MachineId, Resources>,
        now: Long,
    ): PlanMachine? {
        val type = types[machine.type ?: return null] ?: return null
        val zone = machine.zone ?: return null
        val isUnfit =
            machine.isReleasing ||
                machine.isDraining ||
                machine.isQuarantined ||
                now < machine.unresponsiveUntil ||
                machine.isLeaseExpired
        if (isUnfit || machine.noticeUntil != null) return null
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
            stoppingUsage = stoppingUsage(machine),
            placedTasks =
                lazy(LazyThreadSafetyMode.NONE) {
                    machine.attempts.values.map { tenant(it, type, zoneTaskCounts, now) }
                },
            lowestPriority = lowestPriority(machine),
        )
    }

    /** Zero for a machine that can be given work, null for one that can't be counted on. */
    private fun readyInS(
        machine: Machine,
        type: MachineType,
        now: Long,
    ): Double? {
        val lastContactAt = machine.lastContactAt
        if (lastContactAt != null) {
            if (now - lastContactAt > timing.heartbeatLateMs) return null
            return if (machine.token == cluster.token) 0.0 else SOON_S
        }
        if (machine.listed == MachineState.RUNNING) {
            return if (now - maxOf(termStartedAt, machine.firstSeenAt) < timing.workerLeaseTtlMs) SOON_S else null
        }
        return maxOf(SOON_S, type.bootS - (now - machine.rentedAt) / 1000.0)
    }

    /** Tasks that the worker reports but whose attempts were removed hold their room until they have exited. */
    fun unmanagedUsage(machine: Machine): Resources {
        var sum = Resources.NONE
        for (task in machine.tasks.values) {
            if (task.state == TaskState.EXITED || task.attempt in machine.attempts) continue
            cluster.jobs[task.attempt.task.job]?.let { sum += it.need }
        }
        return sum
    }

    /** Room for tasks that are being stopped to go there: taken by others, it would leave them without a place. */
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

    private fun stoppingUsage(machine: Machine): Resources {
        var sum = Resources.NONE
        for (attempt in machine.attempts.values) if (!attempt.isWanted) sum += attempt.job.need
        return sum
    }

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

    /** The machines of an order whose answer is awaited. */
    fun ofPendingRental(
        order: PendingRental,
        types: Map<TypeName, MachineType>,
        now: Long,
    ): List<PlanMachine> {
        val request = order.request
        val type = types[request.type] ?: return emptyList()
        val readyInS = maxOf(SOON_S, type.bootS - (now - order.firstRequestedAt) / 1000.0)
        return List(request.count) { PlanMachine.forRental(type, request.zone, request.spot, readyInS) }
    }

    private companion object {
        const val SOON_S = 1.0
    }
}
