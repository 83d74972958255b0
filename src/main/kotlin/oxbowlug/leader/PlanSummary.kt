package oxbowlug.leader

import oxbowlug.plan.Plan
import oxbowlug.plan.Snapshot

/** Formats a plan as one log line that shows why tasks wait: free capacity by machine type, and the waiting jobs. */
internal class PlanSummary(
    private val plan: Plan,
    private val snapshot: Snapshot,
) {
    override fun toString(): String =
        buildString {
            append("plan: starts=${plan.starts.size} stops=${plan.stops.size} rentals=${plan.rentals.values.sum()} ")
            append("unplaced=${plan.unplaced} reserved=${plan.reserved.size}")
            for ((kind, machines) in snapshot.machines.groupBy { "${it.type.name}${if (it.spot) "/spot" else ""}" }) {
                val gpus = machines.filter { it.isReady }.sumOf { it.free.gpus }
                val cores = machines.filter { it.isReady }.sumOf { it.free.cores }
                append(" free=$kind:machines:${machines.size}:gpus:$gpus:cores:$cores")
            }
            for (job in snapshot.jobs) {
                if (job.isReserve) continue
                append(" waiting=${job.spec.className}:tasks:${job.pending.size}:waitedS:${job.waitedS.toInt()}")
            }
        }
}
