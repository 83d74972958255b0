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
            for (placed in job.live.values) {
                team.add(need)
                if (!placed.isWanted) team.expectStop(need)
            }
        }
        machineNameBytes = machineNameBytes()
        val machines = ArrayList<PlanMachine>(cluster.machines.size)
        val zoneUses = ZoneUses(cluster, settings.zones)
        val pledges = pledges()
        for (host in cluster.machines.values) machine(host, types, zoneUses, pledges, now)?.let(machines::add)
        for (order in scaler.pendingOrders) addOrdered(order, types, now, machines)
        return Snapshot(
            jobs = cluster.jobs.values.mapNotNull { job(it, zoneUses, now) } + reserves(types),
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

    private fun job(
        job: Job,
        zoneUses: ZoneUses,
        now: Long,
    ): PlanJob? {
        if (job.phase != Phase.ACTIVE || now < job.holdUntil) return null
        val readyMs = job.readyMs ?: return null
        // A gang starts again only as a whole: what is left of it ends by itself when its mates are gone.
        if (job.spec.kind == JobKind.GANG && job.live.isNotEmpty()) return null
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
        return (maxOf(many, few) - job.live.size).coerceAtLeast(0)
    }

    private fun dividedRoom(job: Job): Int {
        val occupancy =
            RecordLayout.Occupancy(
                tasks = job.spec.tasks,
                nextAttempt = job.nextAttempt,
                doneRanges = TaskRanges.count(job.done),
                placed = job.live.size,
                machines =
                    job.live.values
                        .mapTo(HashSet()) { it.machine }
                        .size,
                nameBytes = machineNameBytes,
            )
        return dividedRecords.roomForTasks(occupancy).coerceAtLeast(if (job.live.isEmpty()) 1 else 0)
    }

    /** The longest machine name less what all of them share. */
    private fun machineNameBytes(): Int {
        val names = cluster.machines.keys.map { it.value }
        val longest = names.maxOfOrNull { it.length } ?: return LONG_MACHINE_NAME
        return longest - if (names.size > 1) RecordLayout.commonPrefix(names).length else 0
    }

    private fun machine(
        host: Machine,
        types: Map<TypeName, MachineType>,
        zoneUses: ZoneUses,
        pledges: Map<MachineId, Resources>,
        now: Long,
    ): PlanMachine? {
        val type = types[host.type ?: return null] ?: return null
        val zone = host.zone ?: return null
        val isUnfit =
            host.isReleasing ||
                host.isDraining ||
                host.isQuarantined ||
                now < host.unresponsiveUntil ||
                host.isLeaseExpired
        if (isUnfit || host.noticeUntil != null) return null
        val readyInS = readyInS(host, type, now) ?: return null
        return PlanMachine(
            id = host.id,
            type = type,
            zone = zone,
            spot = host.spot,
            free = host.free(type, unmanagedUsage(host)) - (pledges[host.id] ?: Resources.NONE),
            readyInS = readyInS,
            images = host.images,
            fetching = cluster.fetching(host),
            isEmpty = host.live.isEmpty(),
            leaving = leaving(host),
            tenants = lazy(LazyThreadSafetyMode.NONE) { host.live.values.map { tenant(it, type, zoneUses, now) } },
            leastUrgent = leastUrgent(host),
        )
    }

    /** Zero for a machine that can be given work, null for one that can't be counted on. */
    private fun readyInS(
        host: Machine,
        type: MachineType,
        now: Long,
    ): Double? {
        val lastContactAt = host.lastContactAt
        if (lastContactAt != null) {
            if (now - lastContactAt > timing.heartbeatLateMs) return null
            return if (host.token == cluster.token) 0.0 else SOON_S
        }
        if (host.listed == MachineState.RUNNING) {
            return if (now - maxOf(startedAt, host.firstSeenAt) < timing.workerLeaseRawMs) SOON_S else null
        }
        return maxOf(SOON_S, type.bootS - (now - host.rentedAt) / 1000.0)
    }

    /** Tasks that the worker shows but that aren't ours any more hold their room until they have exited. */
    private fun unmanagedUsage(host: Machine): Resources {
        var sum = Resources.NONE
        for (task in host.tasks.values) {
            if (task.state == TaskState.EXITED || task.attempt in host.live) continue
            cluster.jobs[task.attempt.task.job]?.let { sum += it.need }
        }
        return sum
    }

    /** Room for tasks that are being stopped to go there: taken by others, it would leave them without a place. */
    private fun pledges(): Map<MachineId, Resources> {
        val result = HashMap<MachineId, Resources>()
        for (job in cluster.jobs.values) {
            for (placed in job.live.values) {
                val target = placed.target ?: continue
                if (placed.stop != null) result.merge(target, job.need, Resources::plus)
            }
        }
        return result
    }

    private fun leaving(host: Machine): Resources {
        var sum = Resources.NONE
        for (placed in host.live.values) if (!placed.isWanted) sum += placed.job.need
        return sum
    }

    private fun leastUrgent(host: Machine): Priority? {
        var least: Priority? = null
        for (placed in host.live.values) {
            val priority = placed.job.priority
            if (placed.isWanted && (least == null || priority > least)) least = priority
        }
        return least
    }

    private fun tenant(
        placed: TaskAttempt,
        type: MachineType,
        zoneUses: ZoneUses,
        now: Long,
    ): Tenant {
        val spec = placed.job.spec
        val ranS = if (placed.seen == TaskState.RUNNING) (now - placed.seenRunningAt) / 1000.0 else 0.0
        return Tenant(
            attempt = placed.attempt,
            spec = spec,
            zoneUse = zoneUses.of(placed.job),
            ranS = ranS,
            fetchS = type.fetchS(spec),
            weight = weights.of(spec.className),
            stopping = !placed.isWanted,
            priority = placed.job.priority,
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
    fun replicaWeight(host: Machine): Double =
        host.live.values
            .filter { it.isWanted && it.job.spec.kind == JobKind.SERVICE }
            .sumOf { weights.of(it.job.spec.className) }

    /** Whether what these machines hold would fit elsewhere, with some to spare since room comes in pieces. */
    fun hasRoomFor(
        hosts: List<Machine>,
        types: Map<TypeName, MachineType>,
    ): Boolean {
        var need = Resources.NONE
        for (host in hosts) for (placed in host.live.values) if (placed.isWanted) need += placed.job.need
        var free = Resources.NONE
        val now = clock.steadyMs()
        for (host in cluster.machines.values) {
            val type = types[host.type] ?: continue
            val isReady = !host.isReleasing && host.lastContactAt?.let { now - it <= timing.heartbeatLateMs } ?: false
            if (isReady && !host.spot) free += host.free(type, unmanagedUsage(host))
        }
        return (need * SPARE).fitsIn(free)
    }

    fun apply(plan: Plan) {
        val touched = LinkedHashSet<Job>()
        for (start in plan.starts) {
            val job = cluster.jobs[start.job] ?: continue
            val host = cluster.machines[start.machine] ?: continue
            cluster.place(job, start.task, host)
            touched.add(job)
        }
        for (job in touched) job.nextRound()
        for (attempt in plan.stops) {
            val placed = cluster.jobs[attempt.task.job]?.live?.get(attempt.task.index) ?: continue
            if (placed.attempt == attempt) cluster.stop(placed, StopReason.PREEMPTED, plan.targets[attempt])
        }
        plan.move?.let { move ->
            cluster.machines[move.machine]?.isDraining = true
            for ((attempt, target) in move.targets) {
                val placed = cluster.jobs[attempt.task.job]?.live?.get(attempt.task.index) ?: continue
                if (placed.attempt == attempt) cluster.stop(placed, StopReason.DRAINED, target)
            }
        }
        for ((kind, count) in plan.rentals) scaler.rent(kind, count)
    }

    private companion object {
        const val MAX_TASKS_PER_ROUND = 512
        const val SOON_S = 1.0
        const val LONG_MACHINE_NAME = 24
        const val SPARE = 2.0
    }
}
