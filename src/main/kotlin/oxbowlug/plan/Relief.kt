package oxbowlug.plan

import oxbowlug.wire.JobKind
import oxbowlug.wire.Zone

/**
 * Frees GPUs that stand idle for want of cores or memory: replicas without GPUs beside them are moved to machines
 * that have room and their image. They are down for a moment; the GPU job would wait until some of them end.
 */
object Relief {
    class Moved(val tenant: Tenant, val host: PlanMachine)

    class Choice(val machine: PlanMachine, val moved: List<Moved>)

    fun choose(
        job: PlanJob,
        need: Amounts,
        zones: ZoneRule,
        machines: List<PlanMachine>,
        snapshot: Snapshot,
    ): Choice? {
        if (need.gpus <= 0.0) return null
        var best: Choice? = null
        for (machine in machines) {
            val gpus = machine.free.gpus + machine.coming.gpus
            if (!machine.isReady || gpus < need.gpus) continue
            if (!Constraints.allow(job, machine) || !zones.allows(machine.zone)) continue
            val moved = moves(need, machine, machines, snapshot) ?: continue
            if (best == null || moved.size < best.moved.size) best = Choice(machine, moved)
        }
        return best
    }

    private fun moves(
        need: Amounts,
        machine: PlanMachine,
        machines: List<PlanMachine>,
        snapshot: Snapshot,
    ): List<Moved>? {
        var room = machine.free + machine.coming
        val taken = HashMap<PlanMachine, Amounts>()
        val moved = ArrayList<Moved>()
        for (tenant in machine.tenants) {
            if (need.fitsIn(room)) break
            if (!mayMove(tenant, machine, snapshot)) continue
            val elsewhere = HashMap<Zone, Int>(tenant.zoneUse)
            elsewhere.merge(machine.zone, -1, Int::plus)
            val host = machines.firstOrNull { other ->
                other !== machine && other.isReady && other.type.gpus <= 0.0 &&
                    tenant.spec.image in other.images && Consolidation.allows(tenant.spec, other, elsewhere) &&
                    tenant.need.fitsIn(taken[other] ?: other.free)
            } ?: continue
            taken[host] = (taken[host] ?: host.free) - tenant.need
            moved.add(Moved(tenant, host))
            room += tenant.need
        }
        return if (moved.isNotEmpty() && need.fitsIn(room)) moved else null
    }

    private fun mayMove(tenant: Tenant, machine: PlanMachine, snapshot: Snapshot): Boolean =
        tenant.spec.kind == JobKind.SERVICE && tenant.spec.gpus <= 0.0 && !tenant.stopping &&
            tenant.attempt !in machine.stopped && tenant.ranS >= snapshot.settledS
}
