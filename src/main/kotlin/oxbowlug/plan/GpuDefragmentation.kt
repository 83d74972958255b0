package oxbowlug.plan

import oxbowlug.resource.Resources
import oxbowlug.wire.JobKind
import oxbowlug.wire.Zone

/**
 * Makes idle GPUs usable that lack cores or memory: moves replicas that use no GPU from the GPU machine to machines
 * without GPUs that have capacity for them and their image. These replicas are down for a moment, while without the
 * move the GPU job would have to wait until some of them end.
 */
internal object GpuDefragmentation {
    class Move(
        val placedTask: PlacedTask,
        val host: PlanMachine,
    )

    /** The machine for the GPU task, with the moves that free enough cores and memory there. */
    class Choice(
        val machine: PlanMachine,
        val moves: List<Move>,
    )

    /** The machine where the fewest moves make one more task of [job] fit; null if there is none. */
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
            val gpus = machine.free.gpus + machine.pendingFree.gpus
            if (!machine.isReady || gpus < need.gpus) continue
            if (!Constraints.allow(job, machine) || !zones.allows(machine.zone)) continue
            val moves = findMoves(need, machine, hosts, snapshot) ?: continue
            if (moves.size == 1) return Choice(machine, moves)
            if (best == null || moves.size < best.moves.size) best = Choice(machine, moves)
        }
        return best
    }

    private fun findMoves(
        need: Resources,
        machine: PlanMachine,
        hosts: List<PlanMachine>,
        snapshot: Snapshot,
    ): List<Move>? {
        var available = machine.free + machine.pendingFree
        val movable = machine.placedTasks.filter { mayMove(it, machine, snapshot) }
        if (!need.fitsIn(movable.fold(available) { sum, placedTask -> sum + placedTask.need })) return null
        val freeAfterMoves = HashMap<PlanMachine, Resources>()
        val moves = ArrayList<Move>()
        for (placedTask in movable) {
            if (need.fitsIn(available)) break
            val otherTasksByZone = HashMap<Zone, Int>(placedTask.tasksByZone)
            otherTasksByZone.merge(machine.zone, -1, Int::plus)
            val host =
                hosts.firstOrNull { other ->
                    placedTask.need.fitsIn(freeAfterMoves[other] ?: other.free) &&
                        placedTask.spec.image in other.images &&
                        Consolidation.allows(placedTask.spec, other, otherTasksByZone)
                } ?: continue
            freeAfterMoves[host] = (freeAfterMoves[host] ?: host.free) - placedTask.need
            moves.add(Move(placedTask, host))
            available += placedTask.need
        }
        return if (moves.isNotEmpty() && need.fitsIn(available)) moves else null
    }

    /** Like [Consolidation], leaves replicas alone that have run for less than [Snapshot.settledS]. */
    private fun mayMove(
        placedTask: PlacedTask,
        machine: PlanMachine,
        snapshot: Snapshot,
    ): Boolean =
        placedTask.spec.kind == JobKind.SERVICE &&
            placedTask.spec.gpus <= 0.0 &&
            !placedTask.stopping &&
            placedTask.attempt !in machine.stopped &&
            placedTask.ranS >= snapshot.settledS
}
