package oxbowlug.scheduling

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Job
import oxbowlug.cluster.Machine
import oxbowlug.cluster.StopReason
import oxbowlug.cluster.TaskAttempt
import oxbowlug.config.Settings
import oxbowlug.plan.Plan
import oxbowlug.plan.PlanJob
import oxbowlug.plan.PlanMachine
import oxbowlug.plan.PlanTeam
import oxbowlug.plan.Snapshot
import oxbowlug.plan.Tenant
import oxbowlug.port.Clock
import oxbowlug.record.JobRecord
import oxbowlug.record.Phase
import oxbowlug.record.RecordLayout
import oxbowlug.record.TaskRanges
import oxbowlug.record.WritableFormat
import oxbowlug.resource.Resources
import oxbowlug.resource.fetchS
import oxbowlug.scaling.MachineScaler
import oxbowlug.scaling.PendingOrder
import oxbowlug.timing.Timing
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineState
import oxbowlug.wire.MachineType
import oxbowlug.wire.Priority
import oxbowlug.wire.TaskState
import oxbowlug.wire.TypeName

/** Turns the model into the planner's snapshot. */
internal class SchedulingRound(
    private val settings: Settings,
    private val clock: Clock,
    private val timing: Timing,
    private val cluster: ClusterState,
    private val scaler: MachineScaler,
    private val startedAt: Long,
    private val writableFormat: () -> WritableFormat,
) {
    private val policy = settings.policy
    private val weights = ClassWeights(settings)
    private val valueLimit = (settings.state.valueKb * 1024).toInt()
    private val dividedRecords = RecordLayout(settings.state.lowest)

    private var machineNameBytes = LONG_MACHINE_NAME

    fun snapshot(
        types: Map<TypeName, MachineType>,
        mayMove: Boolean,
    ): Snapshot {
        val now = clock.steadyMs()
        InheritedPriority.update(cluster.jobs, types.values, timing.pipelineStageMs)
        val teams =
            settings.teams.mapValues { (_, team) ->
                PlanTeam(team.maxCores, team.maxGpus, team.guaranteedCores, team.guaranteedGpus)
            }
        for (job in cluster.jobs.values) {
            val need = job.need
            val team = teams[job.spec.team] ?: continue
            for (attempt in job.attempts.values) {
                team.add(need)
                if (!attempt.isWanted) team.expectStop(need)
            }
        }
        machineNameBytes = machineNameBytes()
        val machines = ArrayList<PlanMachine>(cluster.machines.size)
        val zoneUses = ZoneUses(cluster, settings.zones)
        val pledges = pledges()
        for (machine in cluster.machines.values) planMachine(machine, types, zoneUses, pledges, now)?.let(machines::add)
        for (order in scaler.pendingOrders) addOrdered(order, types, now, machines)
        return Snapshot(
            jobs = cluster.jobs.values.mapNotNull { planJob(it, zoneUses, now) } + reserves(types),
            machines = machines,
            teams = teams,
            types = types.values.toList(),
            refusals = scaler.refusalPrices(now),
            horizonS = policy.replanS,
            postponeFactor = policy.postponeFactor,
            idleSlotPenalty = policy.idleSlotPenalty,
            mayRent = scaler.hasInventory,
            resourcesPerGpu = resourcesPerGpu(),
            settledS = timing.settledS,
            mayMove = mayMove,
            guaranteeWeight = weights.guarantee,
        )
    }

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

    private fun planJob(
        job: Job,
        zoneUses: ZoneUses,
        now: Long,
    ): PlanJob? {
        if (job.phase != Phase.ACTIVE || now < job.holdUntil) return null
        val readyMs = job.readyMs ?: return null
        // A gang starts again only as a whole: what is left of it ends by itself when its mates are gone.
        if (job.spec.kind == JobKind.GANG && job.attempts.isNotEmpty()) return null
        if (job.spec.oneZone && !zoneUses.isKnown(job)) return null
        val pending = job.pendingTasks(minOf(MAX_TASKS_PER_ROUND, recordRoom(job)))
        if (pending.isEmpty()) return null
        job.avoid.values.removeIf { it <= now }
        val nowMs = clock.wallMs()
        val waitedS = (nowMs - readyMs) / 1000.0
        return PlanJob(
            id = job.id,
            spec = job.spec,
            pending = pending,
            zoneUse = zoneUses.of(job),
            waitedS = waitedS,
            estimateS = if (job.spec.kind == JobKind.SERVICE) 0.0 else job.spec.estimateS,
            deadlineInS = job.latestEndMs?.let { (it - nowMs) / 1000.0 },
            weight = weights.of(job.spec.className),
            avoid = job.avoid.keys,
            isMoving = now < job.movingUntil,
            priority = job.priority,
        )
    }

    /** Room for what is expected to come while a machine boots, as one job a class. */
    private fun reserves(types: Map<TypeName, MachineType>): List<PlanJob> {
        val expected =
            cluster.forecast.expected(clock.wallMs()) { spec ->
                types.values.filter { spec.types == null || it.name in spec.types }.minOfOrNull { it.bootS } ?: 0.0
            }
        return expected.map { (example, count) ->
            PlanJob(
                id = JobId("reserve-${example.className}"),
                spec = example.copy(tasks = count * 2, zone = null, oneZone = false),
                pending = IntArray(count) { it },
                zoneUse = emptyMap(),
                waitedS = 0.0,
                estimateS = 0.0,
                deadlineInS = null,
                weight = weights.of(example.className),
                avoid = emptySet(),
                isReserve = true,
            )
        }
    }

    /** How many more tasks may be placed so that the record stays inside the value limit, however they end. */
    private fun recordRoom(job: Job): Int {
        if (writableFormat() == WritableFormat.HEAD_AND_PARTS) return dividedRoom(job)
        val perTask = JobRecord.PLACEMENT_BOUND + TaskRanges.RANGE_BOUND
        val room = valueLimit - JobRecord.SPEC_BOUND - TaskRanges.sizeBound(job.done)
        val many = (room - cluster.machines.size * JobRecord.MACHINE_BOUND) / perTask
        val few = room / (perTask + JobRecord.MACHINE_BOUND)
        return (maxOf(many, few) - job.attempts.size).coerceAtLeast(0)
    }

    private fun dividedRoom(job: Job): Int {
        val occupancy =
            RecordLayout.Occupancy(
                tasks = job.spec.tasks,
                nextAttempt = job.nextAttempt,
                doneRanges = TaskRanges.count(job.done),
                placed = job.attempts.size,
                machines =
                    job.attempts.values
                        .mapTo(HashSet()) { it.machine }
                        .size,
                nameBytes = machineNameBytes,
            )
        return dividedRecords.roomForTasks(occupancy).coerceAtLeast(if (job.attempts.isEmpty()) 1 else 0)
    }

    /** The longest machine name less what all of them share. */
    private fun machineNameBytes(): Int {
        val names = cluster.machines.keys.map { it.value }
        val longest = names.maxOfOrNull { it.length } ?: return LONG_MACHINE_NAME
        return longest - if (names.size > 1) RecordLayout.commonPrefix(names).length else 0
    }

    private fun planMachine(
        machine: Machine,
        types: Map<TypeName, MachineType>,
        zoneUses: ZoneUses,
        pledges: Map<MachineId, Resources>,
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
            free = machine.free(type, unmanagedUsage(machine)) - (pledges[machine.id] ?: Resources.NONE),
            readyInS = readyInS,
            images = machine.images,
            fetching = machine.fetching(),
            isEmpty = machine.attempts.isEmpty(),
            leaving = leaving(machine),
            tenants = lazy(LazyThreadSafetyMode.NONE) { machine.attempts.values.map { tenant(it, type, zoneUses, now) } },
            leastUrgent = leastUrgent(machine),
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
            if (now - lastContactAt > timing.quietMs) return null
            return if (machine.token == cluster.token) 0.0 else SOON_S
        }
        if (machine.listed == MachineState.RUNNING) {
            return if (now - maxOf(startedAt, machine.firstSeenAt) < timing.workerLeaseRawMs) SOON_S else null
        }
        return maxOf(SOON_S, type.bootS - (now - machine.rentedAt) / 1000.0)
    }

    /** Tasks that the worker shows but that aren't ours any more hold their room until they have exited. */
    private fun unmanagedUsage(machine: Machine): Resources {
        var sum = Resources.NONE
        for (task in machine.tasks.values) {
            if (task.state == TaskState.EXITED || task.attempt in machine.attempts) continue
            cluster.jobs[task.attempt.task.job]?.let { sum += it.need }
        }
        return sum
    }

    /** Room for tasks that are being stopped to go there: taken by others, it would leave them without a place. */
    private fun pledges(): Map<MachineId, Resources> {
        val result = HashMap<MachineId, Resources>()
        for (job in cluster.jobs.values) {
            for (attempt in job.attempts.values) {
                val target = attempt.target ?: continue
                if (attempt.stopReason != null) result.merge(target, job.need, Resources::plus)
            }
        }
        return result
    }

    private fun leaving(machine: Machine): Resources {
        var sum = Resources.NONE
        for (attempt in machine.attempts.values) if (!attempt.isWanted) sum += attempt.job.need
        return sum
    }

    private fun leastUrgent(machine: Machine): Priority? {
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
        zoneUses: ZoneUses,
        now: Long,
    ): Tenant {
        val spec = attempt.job.spec
        val ranS = if (attempt.seen == TaskState.RUNNING) (now - attempt.seenRunningAt) / 1000.0 else 0.0
        return Tenant(
            attempt = attempt.id,
            spec = spec,
            zoneUse = zoneUses.of(attempt.job),
            ranS = ranS,
            fetchS = type.fetchS(spec),
            weight = weights.of(spec.className),
            stopping = !attempt.isWanted,
            priority = attempt.job.priority,
        )
    }

    private fun addOrdered(
        order: PendingOrder,
        types: Map<TypeName, MachineType>,
        now: Long,
        machines: ArrayList<PlanMachine>,
    ) {
        val request = order.request
        val type = types[request.type] ?: return
        val readyInS = maxOf(SOON_S, type.bootS - (now - order.orderedAt) / 1000.0)
        repeat(request.count) {
            machines.add(PlanMachine.pendingOrders(type, request.zone, request.spot, readyInS))
        }
    }

    /** What the replicas on a machine weigh together, for each second that they are down. */
    fun replicaWeight(machine: Machine): Double =
        machine.attempts.values
            .filter { it.isWanted && it.job.spec.kind == JobKind.SERVICE }
            .sumOf { weights.of(it.job.spec.className) }

    /** Whether what these machines hold would fit elsewhere, with some to spare since room comes in pieces. */
    fun hasRoomFor(
        machines: List<Machine>,
        types: Map<TypeName, MachineType>,
    ): Boolean {
        var need = Resources.NONE
        for (machine in machines) for (attempt in machine.attempts.values) if (attempt.isWanted) need += attempt.job.need
        var free = Resources.NONE
        val now = clock.steadyMs()
        for (machine in cluster.machines.values) {
            val type = types[machine.type] ?: continue
            val isReady = !machine.isReleasing && machine.lastContactAt?.let { now - it <= timing.quietMs } ?: false
            if (isReady && !machine.spot) free += machine.free(type, unmanagedUsage(machine))
        }
        return (need * SPARE).fitsIn(free)
    }

    fun apply(plan: Plan) {
        val touched = LinkedHashSet<Job>()
        for (start in plan.starts) {
            val job = cluster.jobs[start.job] ?: continue
            val machine = cluster.machines[start.machine] ?: continue
            cluster.place(job, start.task, machine)
            touched.add(job)
        }
        for (job in touched) job.nextRound()
        for (id in plan.stops) {
            val attempt = attemptOf(id) ?: continue
            cluster.stop(attempt, StopReason.PREEMPTED, plan.targets[id])
        }
        plan.move?.let { move ->
            cluster.machines[move.machine]?.isDraining = true
            for ((id, target) in move.targets) {
                val attempt = attemptOf(id) ?: continue
                cluster.stop(attempt, StopReason.DRAINED, target)
            }
        }
        for ((kind, count) in plan.rentals) scaler.rent(kind, count)
    }

    /** The attempt that the plan names, if it is still the one of its task. */
    private fun attemptOf(id: AttemptId): TaskAttempt? =
        cluster.jobs[id.task.job]?.attempts?.get(id.task.index)?.takeIf { it.id == id }

    private companion object {
        const val MAX_TASKS_PER_ROUND = 512
        const val SOON_S = 1.0
        const val LONG_MACHINE_NAME = 24
        const val SPARE = 2.0
    }
}
