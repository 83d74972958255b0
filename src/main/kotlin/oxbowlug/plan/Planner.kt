package oxbowlug.plan

import oxbowlug.plan.index.ChangedMachines
import oxbowlug.resource.Resources
import oxbowlug.resource.fetchS
import oxbowlug.resource.resources
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.MachineId
import oxbowlug.wire.Zone

/**
 * One greedy planning round that keeps rent plus weighted tardiness low. Jobs are ranked by priority and by the penalty
 * of postponing them to the next round. Each task in turn gets the cheapest placement that its constraints allow: free
 * capacity of a ready machine, a booting machine, capacity freed by preemption, or a new rental. A task that fits
 * somewhere is postponed only if the plan's time is over, see [PlacementOrder].
 */
internal class Planner(
    private val snapshot: Snapshot,
    private val timeLimit: PlanTimeLimit = PlanTimeLimit.NONE,
    /** See [Plan.resumeAfter]; of the former plan. */
    private val resumeAfter: JobId? = null,
) {
    private val machines = ArrayList(snapshot.machines)
    private val changedMachines = ChangedMachines()
    private val candidates = PlacementCandidates(machines, snapshot, changedMachines)
    private val preemptions = PreemptionCandidates(machines, snapshot)
    private val rentals = PlannedRentals(machines, snapshot, changedMachines)
    private val hasMachinesWithoutGpus = machines.any { it.type.gpus <= 0.0 }
    private val starts = ArrayList<Start>()
    private val stops = ArrayList<AttemptId>()
    private val targets = HashMap<AttemptId, MachineId>()
    private val reserved = LinkedHashSet<MachineId>()
    private var unplaced = 0
    private var reservedTasks = 0

    /** See [Pricing.startDelayWeight]; of the job that is being placed. */
    private var startDelayWeight = 0.0

    init {
        for ((index, machine) in machines.withIndex()) {
            machine.recordChangesIn(changedMachines, index)
        }
    }

    fun plan(): Plan {
        val (reserves, jobs) = snapshot.jobs.partition { it.isReserve }
        val placements = Ranking.order(jobs, snapshot.horizonS, snapshot.postponeFactor).mapNotNull(::placement)
        val lastReached = PlacementOrder(placements, timeLimit, resumeAfter).forEach(::placeTasks)
        placements.forEach(::addStartsUnlessPartialGang)
        val isSteady = unplaced == 0 && stops.isEmpty() && lastReached == null
        for (job in Ranking.order(reserves, snapshot.horizonS, snapshot.postponeFactor)) reserve(job)
        val move = if (isSteady && snapshot.mayMove) Consolidation.choose(machines, reserved, snapshot) else null
        return Plan(
            starts = starts,
            stops = stops,
            targets = targets,
            rentals = rentals.byKind,
            reserved = reserved,
            unplaced = unplaced,
            priced = candidates.priced + preemptions.priced,
            reservedTasks = reservedTasks,
            resumeAfter = lastReached,
            move = move,
        )
    }

    private fun placement(job: PlanJob): JobPlacement? = snapshot.teams[job.spec.team]?.let { JobPlacement(job, it) }

    private fun addStartsUnlessPartialGang(placement: JobPlacement) {
        // A gang starts all its tasks in one round or none; its partial placements stay reserved in this plan.
        val isPartial = placement.job.spec.kind == JobKind.GANG && placement.starts.size < placement.job.pending.size
        if (isPartial) placement.starts.forEach { reserved.add(it.machine) } else starts.addAll(placement.starts)
    }

    /** Reserves or rents capacity for forecast tasks; runs last, so tasks that are already pending come first. */
    private fun reserve(job: PlanJob) {
        val team = snapshot.teams[job.spec.team] ?: return
        val need = job.spec.resources()
        val zones = ZoneRule(job)
        startDelayWeight = 0.0
        candidates.begin(job, need, guaranteed = false)
        for (index in 0 until job.reservedTasks) {
            // What the team could not run needs no capacity, so a reservation counts like a placed task.
            if (!team.isWithinLimit(need) || timeLimit.isOver) return
            val ready = candidates.cheapest(Capacity.FREE, zones)
            val host = ready?.machine ?: bootingOrRented(job, need, zones, job.reservedTasks - index) ?: return
            host.allocate(need)
            team.add(need)
            host.id?.let(reserved::add)
            zones.addTask(host.zone)
            reservedTasks++
        }
    }

    private fun placeTasks(
        placement: JobPlacement,
        guaranteedOnly: Boolean,
    ) {
        val job = placement.job
        val need = placement.need
        if (placement.remaining == 0 || placement.isUnschedulable) return
        startDelayWeight = Pricing.startDelayWeight(job, guaranteedOnly, snapshot)
        candidates.begin(job, need, guaranteedOnly)
        preemptions.begin(job, need, guaranteedOnly)
        if (job.spec.oneZone && placement.zones.fixedZone == null) {
            placement.zones.fixedZone = job.spec.zone ?: zoneWithMostCapacity(job, need)
        }
        while (placement.remaining > 0) {
            // A team at its limit starts more only when its own tasks end; preempting others would not lower its usage.
            if (!placement.team.isWithinLimit(need)) return
            if (guaranteedOnly && !placement.team.guarantees(need)) return
            if (!placeTask(placement)) {
                // All tasks of a job have the same needs, so if one fits nowhere the others don't either.
                unplaced += placement.remaining
                placement.isUnschedulable = true
                return
            }
            placement.nextIndex++
        }
    }

    private fun placeTask(placement: JobPlacement): Boolean {
        val job = placement.job
        val need = placement.need
        val zones = placement.zones
        val ready = candidates.cheapest(Capacity.FREE, zones)
        if (ready != null && ready.delayS <= 0.0 && !ready.strandsGpus && !ready.isScarce) {
            return start(ready.machine, placement)
        }
        // A task that would strand idle GPUs goes to a booting machine, usually one without GPUs, if that costs less.
        val pendingMachine =
            when {
                ready == null -> null
                ready.strandsGpus ->
                    candidates.cheapest(Capacity.BOOTING, zones)?.takeIf { it.cost < ready.cost }?.machine
                ready.isScarce -> spotAlternative(ready, placement)
                else -> null
            }
        if (pendingMachine != null) {
            pendingMachine.allocate(need)
            pendingMachine.id?.let(reserved::add)
            recordPlacement(pendingMachine.zone, placement)
            return true
        }
        // Capacity that isn't free yet is used only for an earlier start, for example where the image is cached.
        val afterStops = candidates.cheapest(Capacity.PENDING_FREE, zones)
        val preemption = preemptions.cheapest(placement.team, zones)
        val readyCost = ready?.cost ?: Double.POSITIVE_INFINITY
        val afterStopsCost = afterStops?.cost ?: Double.POSITIVE_INFINITY
        val preemptionCost = preemption?.cost ?: Double.POSITIVE_INFINITY
        val host =
            when {
                ready != null && readyCost <= minOf(afterStopsCost, preemptionCost) ->
                    return start(ready.machine, placement)
                afterStops != null && afterStopsCost <= preemptionCost -> afterStops.machine
                preemption != null -> preemption.machine.also { stopAll(preemption) }
                else ->
                    moveBlockingReplicas(job, need, zones)
                        ?: bootingOrRented(job, need, zones, placement.remaining)
                        ?: return false
            }
        if (host.isReady) reserveFreeAndPending(host, need) else host.allocate(need)
        host.id?.let(reserved::add)
        recordPlacement(host.zone, placement)
        return true
    }

    private fun start(
        host: PlanMachine,
        placement: JobPlacement,
    ): Boolean {
        host.allocate(placement.need)
        val task = placement.job.pending[placement.nextIndex]
        placement.starts.add(Start(placement.job.id, task, host.id ?: error("a ready machine must have an id")))
        recordPlacement(host.zone, placement)
        return true
    }

    private fun reserveFreeAndPending(
        host: PlanMachine,
        need: Resources,
    ) {
        // The free part of the need is allocated now, or another task would take it before the rest comes free.
        val freeNow =
            Resources(
                minOf(need.cores, host.free.cores).coerceAtLeast(0.0),
                minOf(need.gpus, host.free.gpus).coerceAtLeast(0.0),
                minOf(need.memoryGb, host.free.memoryGb).coerceAtLeast(0.0),
                minOf(need.reportBytes, host.free.reportBytes).coerceAtLeast(0.0),
            )
        host.allocate(freeNow)
        host.reservePendingFree(need - freeNow)
    }

    private fun recordPlacement(
        zone: Zone,
        placement: JobPlacement,
    ) {
        placement.team.add(placement.need)
        placement.zones.addTask(zone)
    }

    private fun stopAll(candidate: Preemption.Candidate) {
        for (preemptedTask in candidate.preempted) {
            snapshot.teams[preemptedTask.team]?.addStopping(preemptedTask.need)
            candidate.machine.stop(preemptedTask)
            stops.add(preemptedTask.attempt)
        }
    }

    private fun moveBlockingReplicas(
        job: PlanJob,
        need: Resources,
        zones: ZoneRule,
    ): PlanMachine? {
        if (!hasMachinesWithoutGpus) return null
        val choice = GpuDefragmentation.choose(job, need, zones, machines, snapshot) ?: return null
        for (move in choice.moves) {
            choice.machine.stop(move.placedTask)
            stops.add(move.placedTask.attempt)
            move.host.allocate(move.placedTask.need)
            move.host.id?.let {
                reserved.add(it)
                targets[move.placedTask.attempt] = it
            }
        }
        return choice.machine
    }

    /**
     * A booting or new spot machine, so that scarce on-demand capacity is left to jobs that can't use spot machines. It
     * must cost less and start before the task would end on [scarce]: a shorter task frees that capacity sooner.
     */
    private fun spotAlternative(
        scarce: PlacementCandidate,
        placement: JobPlacement,
    ): PlanMachine? {
        val job = placement.job
        val booting = candidates.cheapest(Capacity.BOOTING, placement.zones)
        val isBetter = booting != null && booting.cost < scarce.cost && booting.delayS < job.runEstimateS
        if (booting != null && isBetter && booting.machine.spot) return booting.machine
        val rental =
            rentals.cheapest(job, placement.need, placement.zones, placement.remaining, startDelayWeight) ?: return null
        val startsInS = rental.type.bootS + rental.type.fetchS(job.spec)
        val isWorthRenting = rental.kind.spot && rental.cost < scarce.cost && startsInS < job.runEstimateS
        return if (isWorthRenting) rentals.rent(rental) else null
    }

    private fun bootingOrRented(
        job: PlanJob,
        need: Resources,
        zones: ZoneRule,
        remaining: Int,
    ): PlanMachine? {
        val booting = candidates.cheapest(Capacity.BOOTING, zones)
        val rental = rentals.cheapest(job, need, zones, remaining, startDelayWeight) ?: return booting?.machine
        // A booting machine is filled first, unless a new one is cheaper even with the rent of its boot time.
        val bootCost = rental.type.price(rental.kind.spot) / Pricing.HOUR_S * rental.type.bootS
        if (booting != null && booting.cost <= rental.cost + bootCost) return booting.machine
        return rentals.rent(rental)
    }

    private fun zoneWithMostCapacity(
        job: PlanJob,
        need: Resources,
    ): Zone? {
        val placeableTasks = HashMap<Zone, Int>()
        for (machine in machines) {
            if (!Constraints.allow(job, machine)) continue
            var free = machine.free
            var count = 0
            while (need.fitsIn(free) && count < job.pending.size) {
                free -= need
                count++
            }
            placeableTasks.merge(machine.zone, count, Int::plus)
        }
        // With no capacity in any zone the first rental fixes the zone; one that refuses rentals would block the job.
        return placeableTasks.entries
            .maxWithOrNull(compareBy({ it.value }, { it.key.value }))
            ?.takeIf { it.value > 0 }
            ?.key
    }
}
