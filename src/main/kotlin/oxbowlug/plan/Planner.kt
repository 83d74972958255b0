package oxbowlug.plan

import oxbowlug.plan.index.ChangedMachines
import oxbowlug.resource.Resources
import oxbowlug.resource.fetchS
import oxbowlug.resource.resources
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobKind
import oxbowlug.wire.MachineId
import oxbowlug.wire.Zone

/**
 * One round of the rent-and-deadline plan. Jobs are ranked by what postponing them to the next round would cost;
 * each in turn takes the cheapest place that its constraints allow: a ready machine, one that is coming, room made
 * by stopping work that may be stopped, or a new rental. Nothing that fits is postponed.
 */
internal class Planner(
    private val snapshot: Snapshot,
) {
    private val machines = ArrayList(snapshot.machines)
    private val changed = ChangedMachines()
    private val offers = Offers(machines, snapshot, changed)
    private val stopping = Stops(machines, snapshot)
    private val rentalPrices = RentalPrices(snapshot)
    private val machinesInZone = HashMap<Zone, Int>()
    private val hasMachinesWithoutGpus = machines.any { it.type.gpus <= 0.0 }
    private val starts = ArrayList<Start>()
    private val stops = ArrayList<AttemptId>()
    private val targets = HashMap<AttemptId, MachineId>()
    private val rentals = LinkedHashMap<MachineKind, Int>()
    private val reserved = LinkedHashSet<MachineId>()
    private var unplaced = 0

    /** Of the job that is being placed. */
    private var startWeight = 0.0

    init {
        for ((index, machine) in machines.withIndex()) {
            machinesInZone.merge(machine.zone, 1, Int::plus)
            machine.reportChangesTo(changed, index)
        }
    }

    fun plan(): Plan {
        val (reserves, jobs) = snapshot.jobs.partition { it.isReserve }
        val placements = Ranking.order(jobs, snapshot.horizonS, snapshot.postponeFactor).mapNotNull(::placement)
        // Room was found for them before they were stopped; nobody else may take it meanwhile.
        for (placement in placements) if (placement.job.isMoving) placeTasks(placement, guaranteedOnly = false)
        // What a guarantee covers may displace whatever is borrowed, so it goes before it, whatever the priorities:
        // placed after, it would stop what this plan has just started, in every plan again.
        for (placement in placements) if (placement.mayBeGuaranteed()) placeTasks(placement, guaranteedOnly = true)
        for (placement in placements) {
            placeTasks(placement, guaranteedOnly = false)
            withholdPartOfGang(placement)
        }
        val calm = unplaced == 0 && stops.isEmpty()
        for (job in Ranking.order(reserves, snapshot.horizonS, snapshot.postponeFactor)) reserve(job)
        val move = if (calm && snapshot.mayMove) Consolidation.choose(machines, reserved, snapshot) else null
        return Plan(starts, stops, targets, rentals, reserved, unplaced, offers.priced + stopping.asked, move)
    }

    private fun placement(job: PlanJob): JobPlacement? = snapshot.teams[job.spec.team]?.let { JobPlacement(job, it) }

    private fun withholdPartOfGang(placement: JobPlacement) {
        // A gang gets all its placements in one round or none; what it took stays reserved for it in this plan.
        val isPart = placement.job.spec.kind == JobKind.GANG && placement.starts.size < placement.job.pending.size
        if (isPart) placement.starts.forEach { reserved.add(it.machine) } else starts.addAll(placement.starts)
    }

    /** Holds room for tasks that are expected, or rents it; whatever is really there goes first. */
    private fun reserve(job: PlanJob) {
        val need = job.spec.resources()
        val zones = ZoneRule(job)
        startWeight = 0.0
        offers.begin(job, need, guaranteed = false)
        for (index in job.pending.indices) {
            val ready = offers.cheapest(Room.READY, zones)
            val host = ready?.machine ?: bootingOrRented(job, need, zones, job.pending.size - index) ?: return
            host.take(need)
            host.id?.let(reserved::add)
            zones.use(host.zone)
        }
    }

    private fun placeTasks(
        placement: JobPlacement,
        guaranteedOnly: Boolean,
    ) {
        val job = placement.job
        val need = placement.need
        if (placement.left == 0 || placement.isStuck) return
        startWeight = Pricing.startWeight(job, guaranteedOnly, snapshot)
        offers.begin(job, need, guaranteedOnly)
        stopping.begin(job, need, guaranteedOnly)
        if (job.spec.oneZone && placement.zones.fixed == null) {
            placement.zones.fixed = job.spec.zone ?: roomiestZone(job, need)
        }
        while (placement.left > 0) {
            // A team at its limit waits for its own work to end; nobody else's is stopped for it.
            if (!placement.team.hasRoomFor(need)) return
            if (guaranteedOnly && !placement.team.guarantees(need)) return
            if (!placeTask(placement)) {
                // The tasks of a job are alike: where one doesn't fit, no other does.
                unplaced += placement.left
                placement.isStuck = true
                return
            }
            placement.next++
        }
    }

    private fun placeTask(placement: JobPlacement): Boolean {
        val job = placement.job
        val need = placement.need
        val zones = placement.zones
        val ready = offers.cheapest(Room.READY, zones)
        if (ready != null && ready.delayS <= 0.0 && !ready.strands && !ready.isScarce) {
            return start(ready.machine, placement)
        }
        // Cores beside idle GPUs are left alone if a machine without GPUs will be up in a moment.
        val soon =
            when {
                ready == null -> null
                ready.strands -> offers.cheapest(Room.BOOTING, zones)?.takeIf { it.cost < ready.cost }?.machine
                ready.isScarce -> spotInsteadOf(ready, placement)
                else -> null
            }
        if (soon != null) {
            soon.take(need)
            soon.id?.let(reserved::add)
            settle(soon.zone, placement)
            return true
        }
        // A place that isn't free yet is taken only for an earlier start: where the image is, for one.
        val coming = offers.cheapest(Room.COMING, zones)
        val stop = stopping.cheapest(placement.team, zones)
        val readyCost = ready?.cost ?: Double.POSITIVE_INFINITY
        val comingCost = coming?.cost ?: Double.POSITIVE_INFINITY
        val stopCost = stop?.cost ?: Double.POSITIVE_INFINITY
        val host =
            when {
                ready != null && readyCost <= minOf(comingCost, stopCost) ->
                    return start(ready.machine, placement)
                coming != null && comingCost <= stopCost -> coming.machine
                stop != null -> stop.machine.also { stopAll(stop) }
                else -> relieve(job, need, zones) ?: bootingOrRented(job, need, zones, placement.left) ?: return false
            }
        if (host.isReady) promise(host, need) else host.take(need)
        host.id?.let(reserved::add)
        settle(host.zone, placement)
        return true
    }

    private fun start(
        host: PlanMachine,
        placement: JobPlacement,
    ): Boolean {
        host.take(placement.need)
        val task = placement.job.pending[placement.next]
        placement.starts.add(Start(placement.job.id, task, host.id ?: error("a ready machine has a name")))
        settle(host.zone, placement)
        return true
    }

    private fun promise(
        host: PlanMachine,
        need: Resources,
    ) {
        // The room is part free now and part coming: what is free must not be given away meanwhile.
        val now =
            Resources(
                minOf(need.cores, host.free.cores).coerceAtLeast(0.0),
                minOf(need.gpus, host.free.gpus).coerceAtLeast(0.0),
                minOf(need.memoryGb, host.free.memoryGb).coerceAtLeast(0.0),
            )
        host.take(now)
        host.promise(need - now)
    }

    private fun settle(
        zone: Zone,
        placement: JobPlacement,
    ) {
        placement.team.add(placement.need)
        placement.zones.use(zone)
    }

    private fun stopAll(choice: Preemption.Choice) {
        for (preemptedTask in choice.preempted) {
            snapshot.teams[preemptedTask.team]?.addStopping(preemptedTask.need)
            choice.machine.stop(preemptedTask)
            stops.add(preemptedTask.attempt)
        }
    }

    private fun relieve(
        job: PlanJob,
        need: Resources,
        zones: ZoneRule,
    ): PlanMachine? {
        if (!hasMachinesWithoutGpus) return null
        val choice = BlockedDemand.choose(job, need, zones, machines, snapshot) ?: return null
        for (move in choice.moved) {
            choice.machine.stop(move.tenant)
            stops.add(move.tenant.attempt)
            move.host.take(move.tenant.need)
            move.host.id?.let {
                reserved.add(it)
                targets[move.tenant.attempt] = it
            }
        }
        return choice.machine
    }

    /**
     * Ordinary room that can't be had again is left to work that can't use spot machines, if one of them costs less and
     * starts sooner than the job would end here: shorter work is out of the way before that.
     */
    private fun spotInsteadOf(
        scarce: Offer,
        placement: JobPlacement,
    ): PlanMachine? {
        val job = placement.job
        val booting = offers.cheapest(Room.BOOTING, placement.zones)
        val isBetter = booting != null && booting.cost < scarce.cost && booting.delayS < job.runEstimateS
        if (booting != null && isBetter && booting.machine.spot) return booting.machine
        if (!snapshot.mayRent) return null
        val rental = cheapestRental(job, placement.need, placement.zones, placement.left) ?: return null
        val startsInS = rental.type.bootS + rental.type.fetchS(job.spec)
        return if (rental.kind.spot && rental.cost < scarce.cost && startsInS < job.runEstimateS) rent(rental) else null
    }

    private fun bootingOrRented(
        job: PlanJob,
        need: Resources,
        zones: ZoneRule,
        left: Int,
    ): PlanMachine? {
        val booting = offers.cheapest(Room.BOOTING, zones)
        val rental = if (snapshot.mayRent) cheapestRental(job, need, zones, left) else null
        if (rental == null) return booting?.machine
        // A machine that is coming anyway is filled first, unless another kind is worth one more boot.
        val boot = rental.type.price(rental.kind.spot) / Pricing.HOUR_S * rental.type.bootS
        if (booting != null && booting.cost <= rental.cost + boot) return booting.machine
        return rent(rental)
    }

    private fun rent(rental: RentalOffer): PlanMachine {
        rentals.merge(rental.kind, 1, Int::plus)
        val kind = rental.kind
        val machine = PlanMachine.forRental(rental.type, kind.zone, kind.spot, rental.type.bootS.coerceAtLeast(1.0))
        machine.reportChangesTo(changed, machines.size)
        machines.add(machine)
        machinesInZone.merge(machine.zone, 1, Int::plus)
        return machine
    }

    /** A machine of the cheapest kind that may still be had. */
    private fun cheapestRental(
        job: PlanJob,
        need: Resources,
        zones: ZoneRule,
        left: Int,
    ): RentalOffer? =
        rentalPrices.cheapest(job, need, zones, left, startWeight) { zone ->
            // Between equal offers the zone with fewer machines is taken, so that one zone's loss costs less.
            1.0 + (machinesInZone[zone] ?: 0) * CROWDING + zones.used(zone) * CROWDING
        }

    private fun roomiestZone(
        job: PlanJob,
        need: Resources,
    ): Zone? {
        val room = HashMap<Zone, Int>()
        for (machine in machines) {
            if (!Constraints.allow(job, machine)) continue
            var free = machine.free
            var count = 0
            while (need.fitsIn(free) && count < job.pending.size) {
                free -= need
                count++
            }
            room.merge(machine.zone, count, Int::plus)
        }
        // With no room anywhere the first rental decides, so that a zone that refuses doesn't hold the job for ever.
        return room.entries
            .maxWithOrNull(compareBy({ it.value }, { it.key.value }))
            ?.takeIf { it.value > 0 }
            ?.key
    }

    private companion object {
        const val CROWDING = 1e-4
    }
}
