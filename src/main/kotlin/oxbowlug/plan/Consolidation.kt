package oxbowlug.plan

import oxbowlug.resource.Resources
import oxbowlug.resource.dominantShare
import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineId
import oxbowlug.wire.Zone

/**
 * Empties at most one machine per round: one whose replicas all fit on other machines now, and whose saved rent is
 * higher than both the rent of one boot and the cost of the moved replicas' downtime.
 */
internal object Consolidation {
    /** [targets] maps each attempt on [machine] to the machine that its replica moves to. */
    class Move(
        val machine: MachineId,
        val targets: Map<AttemptId, MachineId>,
    ) {
        /** The number of jobs that have a replica moved. */
        val jobs: Int get() = targets.keys.distinctBy { it.task.job }.size
    }

    /** The move with the highest net saving, or null if none saves anything; skips machines in [reserved]. */
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
                        isMovable(it, snapshot)
                }.sortedByDescending { netSaving(it, snapshot) }
                .take(MAX_CANDIDATES)
        // Replicas move to the fullest machine that fits, so that the emptier ones can be emptied in later rounds.
        val hosts = machines.filter { it.isReady && !it.isEmpty }.sortedBy { it.type.dominantShare(it.free) }
        for (machine in candidates) {
            if (netSaving(machine, snapshot) <= 0.0) return null
            val targets = findTargets(machine, hosts) ?: continue
            return Move(machine.id ?: continue, targets)
        }
        return null
    }

    private fun isMovable(
        machine: PlanMachine,
        snapshot: Snapshot,
    ): Boolean =
        machine.placedTasks.all { placedTask ->
            !placedTask.stopping && placedTask.spec.kind == JobKind.SERVICE && placedTask.ranS >= snapshot.settledS
        }

    private fun netSaving(
        machine: PlanMachine,
        snapshot: Snapshot,
    ): Double {
        val pricePerS = machine.type.price(machine.spot) / 3600.0
        val savedRent = pricePerS * Pricing.assumedServiceRunS(snapshot)
        val downtimeCost = machine.placedTasks.size * Pricing.tardinessCostPerS(1.0, snapshot) * MOVE_DOWNTIME_S
        val bootCost = pricePerS * machine.type.bootS
        return savedRent - maxOf(bootCost, downtimeCost)
    }

    private fun findTargets(
        machine: PlanMachine,
        hosts: List<PlanMachine>,
    ): Map<AttemptId, MachineId>? {
        val targets = LinkedHashMap<AttemptId, MachineId>()
        val free = HashMap<PlanMachine, Resources>()
        val tasksByZoneOfJob = HashMap<String, HashMap<Zone, Int>>()
        for (placedTask in machine.placedTasks) {
            val spec = placedTask.spec
            val otherTasksByZone = tasksByZoneOfJob.getOrPut(spec.id.value) { HashMap(placedTask.tasksByZone) }
            otherTasksByZone.merge(machine.zone, -1, Int::plus)
            val host =
                hosts.firstOrNull { other ->
                    placedTask.need.fitsIn(free[other] ?: other.free) &&
                        other !== machine &&
                        spec.image in other.images &&
                        allows(spec, other, otherTasksByZone)
                } ?: return null
            targets[placedTask.attempt] = host.id ?: return null
            free[host] = (free[host] ?: host.free) - placedTask.need
            otherTasksByZone.merge(host.zone, 1, Int::plus)
        }
        return targets
    }

    /** Whether a replica may move to [host]; [otherTasksByZone] counts the other tasks of its job. */
    fun allows(
        spec: JobSpec,
        host: PlanMachine,
        otherTasksByZone: Map<Zone, Int>,
    ): Boolean {
        if (host.spot && !spec.spot) return false
        if (spec.types != null && host.type.name !in spec.types) return false
        if (spec.zone != null && host.zone != spec.zone) return false
        if (spec.oneZone && otherTasksByZone.any { (zone, count) -> count > 0 && zone != host.zone }) return false
        return (otherTasksByZone[host.zone] ?: 0) < spec.maxTasksPerZone
    }

    /** A moved replica is down for about one heartbeat, one planning round and one start. */
    private const val MOVE_DOWNTIME_S = 3.0

    /** In a full fleet nothing fits elsewhere, and trying every machine would take time quadratic in their number. */
    private const val MAX_CANDIDATES = 64
}
