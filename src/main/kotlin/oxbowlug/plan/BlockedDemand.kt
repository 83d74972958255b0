package oxbowlug.plan

import oxbowlug.resource.Resources
import oxbowlug.wire.JobKind
import oxbowlug.wire.Zone

/**
 * Frees GPUs that stand idle for want of cores or memory: replicas without GPUs beside them are moved to machines
 * that have room and their image. They are down for a moment; the GPU job would wait until some of them end.
 */
internal object BlockedDemand {
    class Moved(
        val tenant: PlacedTask,
        val host: PlanMachine,
    )

    class Choice(
        val machine: PlanMachine,
        val moved: List<Moved>,
    )

    fun choose(
        job: PlanJob,
        need: Resources,
        zones: ZoneRule,
        machines: List<PlanMachine>,
        snapshot: Snapshot,
    ): Choice? {
        if (need.gpus <= 0.0) return null
        val hosts = machines.filter { it.isReady && it.type.gpus <= 0.0 && it.free.cores > 0.0 }
        if (hosts.isEmpty()) return null
        var best: Choice? = null
        for (machine in machines) {
            val gpus = machine.free.gpus + machine.coming.gpus
            if (!machine.isReady || gpus < need.gpus) continue
            if (!Constraints.allow(job, machine) || !zones.allows(machine.zone)) continue
            val moved = moves(need, machine, hosts, snapshot) ?: continue
            if (moved.size == 1) return Choice(machine, moved)
            if (best == null || moved.size < best.moved.size) best = Choice(machine, moved)
        }
        return best
    }

    private fun moves(
        need: Resources,
        machine: PlanMachine,
        hosts: List<PlanMachine>,
        snapshot: Snapshot,
    ): List<Moved>? {
        var room = machine.free + machine.coming
        val movable = machine.placedTasks.filter { mayMove(it, machine, snapshot) }
        if (!need.fitsIn(movable.fold(room) { sum, tenant -> sum + tenant.need })) return null
        val taken = HashMap<PlanMachine, Resources>()
        val moved = ArrayList<Moved>()
        for (tenant in movable) {
            if (need.fitsIn(room)) break
            val elsewhere = HashMap<Zone, Int>(tenant.tasksByZone)
            elsewhere.merge(machine.zone, -1, Int::plus)
            val host =
                hosts.firstOrNull { other ->
                    tenant.need.fitsIn(taken[other] ?: other.free) &&
                        tenant.spec.image in other.images &&
                        Consolidation.allows(tenant.spec, other, elsewhere)
                } ?: continue
            taken[host] = (taken[host] ?: host.free) - tenant.need
            moved.add(Moved(tenant, host))
            room += tenant.need
        }
        return if (moved.isNotEmpty() && need.fitsIn(room)) moved else null
    }

    private fun mayMove(
        tenant: PlacedTask,
        machine: PlanMachine,
        snapshot: Snapshot,
    ): Boolean =
        tenant.spec.kind == JobKind.SERVICE &&
            tenant.spec.gpus <= 0.0 &&
            !tenant.stopping &&
            tenant.attempt !in machine.stopped &&
            tenant.ranS >= snapshot.settledS
}
