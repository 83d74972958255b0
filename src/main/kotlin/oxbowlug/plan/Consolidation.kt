package oxbowlug.plan

import oxbowlug.resource.Resources
import oxbowlug.resource.share
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineId
import oxbowlug.wire.Zone

/**
 * Empties one machine a round when everything on it fits elsewhere at once and what is saved outweighs both one
 * boot of machine time and the time that the moved replicas are down.
 */
internal object Consolidation {
    /** [targets] says where the replicas of [machine] go. */
    class Move(
        val machine: MachineId,
        val targets: Map<AttemptId, MachineId>,
    ) {
        val jobs: Int get() = targets.keys.distinctBy { it.task.job }.size
    }

    fun choose(
        machines: List<PlanMachine>,
        reserved: Set<MachineId>,
        snapshot: Snapshot,
    ): Move? {
        val candidates =
            machines
                .filter {
                    it.isReady &&
                        it.id != null &&
                        it.placedTasks.isNotEmpty() &&
                        it.id !in reserved &&
                        movable(it, snapshot)
                }.sortedByDescending { gain(it, snapshot) }
                .take(MOST_TRIED)
        // The fullest first, so that the emptier ones can be emptied next.
        val hosts = machines.filter { it.isReady && !it.isEmpty }.sortedBy { it.type.share(it.free) }
        for (machine in candidates) {
            if (gain(machine, snapshot) <= 0.0) return null
            val targets = elsewhere(machine, hosts) ?: continue
            return Move(machine.id ?: continue, targets)
        }
        return null
    }

    private fun movable(
        machine: PlanMachine,
        snapshot: Snapshot,
    ): Boolean =
        machine.placedTasks.all { tenant ->
            !tenant.stopping && tenant.spec.kind == JobKind.SERVICE && tenant.ranS >= snapshot.settledS
        }

    private fun gain(
        machine: PlanMachine,
        snapshot: Snapshot,
    ): Double {
        val perSecond = machine.type.price(machine.spot) / 3600.0
        val saved = perSecond * Pricing.serviceS(snapshot)
        val down = machine.placedTasks.size * Pricing.omega(1.0, snapshot) * MOVE_S
        val boot = perSecond * machine.type.bootS
        return saved - maxOf(boot, down)
    }

    private fun elsewhere(
        machine: PlanMachine,
        hosts: List<PlanMachine>,
    ): Map<AttemptId, MachineId>? {
        val targets = LinkedHashMap<AttemptId, MachineId>()
        val free = HashMap<PlanMachine, Resources>()
        val tasksByZone = HashMap<String, HashMap<Zone, Int>>()
        for (tenant in machine.placedTasks) {
            val spec = tenant.spec
            val use = tasksByZone.getOrPut(spec.id.value) { HashMap(tenant.tasksByZone) }
            use.merge(machine.zone, -1, Int::plus)
            val host =
                hosts.firstOrNull { other ->
                    tenant.need.fitsIn(free[other] ?: other.free) &&
                        other !== machine &&
                        spec.image in other.images &&
                        allows(spec, other, use)
                } ?: return null
            targets[tenant.attempt] = host.id ?: return null
            free[host] = (free[host] ?: host.free) - tenant.need
            use.merge(host.zone, 1, Int::plus)
        }
        return targets
    }

    fun allows(
        spec: JobSpec,
        host: PlanMachine,
        use: Map<Zone, Int>,
    ): Boolean {
        if (host.spot && !spec.spot) return false
        if (spec.types != null && host.type.name !in spec.types) return false
        if (spec.zone != null && host.zone != spec.zone) return false
        if (spec.oneZone && use.any { (zone, count) -> count > 0 && zone != host.zone }) return false
        return (use[host.zone] ?: 0) < spec.maxTasksPerZone
    }

    /** A moved replica is down for about a heartbeat, a plan and a start. */
    private const val MOVE_S = 3.0

    /** In a full fleet nothing fits elsewhere, and trying every machine against every other is its square. */
    private const val MOST_TRIED = 64
}
