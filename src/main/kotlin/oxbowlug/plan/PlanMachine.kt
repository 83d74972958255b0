package oxbowlug.plan

import oxbowlug.plan.index.ChangedMachines
import oxbowlug.resource.Resources
import oxbowlug.resource.resources
import oxbowlug.wire.AttemptId
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.Priority
import oxbowlug.wire.Zone

/** A machine as the planner sees it, with the resources that the plan has allocated on it so far. */
internal class PlanMachine(
    /** Null for a machine that is on order or that this plan rents. */
    val id: MachineId?,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    free: Resources,
    /** Zero if tasks can start now; otherwise it is ordered, booting, or not in contact with this leader yet. */
    val readyInS: Double,
    /** Images that are on the machine. */
    val images: Set<ImageName>,
    /** Images that the machine is fetching or will fetch for the tasks placed on it. */
    val fetching: Set<ImageName>,
    val isEmpty: Boolean,
    /** Resources of tasks that are being stopped. */
    stoppingUsage: Resources,
    /** Lazy because most plans look at the tasks of few machines. */
    placedTasks: Lazy<List<PlacedTask>>,
    /** The lowest priority of the tasks that aren't being stopped; null if there are none. */
    val lowestPriority: Priority? = Priority.LOW,
) {
    val placedTasks: List<PlacedTask> by placedTasks

    /** How often this plan changed the machine's resources: a cached cost of an earlier count is outdated. */
    var changeCount = 0
        private set
    private var index = 0
    private var changedMachines: ChangedMachines? = null

    /** From now on records each change in [log], under [machineIndex], the machine's index in the plan. */
    fun recordChangesIn(
        log: ChangedMachines,
        machineIndex: Int,
    ) {
        changedMachines = log
        index = machineIndex
    }

    private fun recordChange() {
        changeCount++
        changedMachines?.add(index)
    }

    var free: Resources = free
        private set

    /** Resources of tasks that are being stopped, less what this plan has reserved of them for pending tasks. */
    var pendingFree: Resources = stoppingUsage
        private set

    /** Attempts that this plan stops. */
    val stopped = HashSet<AttemptId>()
    val isReady: Boolean get() = readyInS <= 0.0
    val hasPendingFree: Boolean
        get() =
            pendingFree.cores > 0.0 ||
                pendingFree.gpus > 0.0 ||
                pendingFree.memoryGb > 0.0 ||
                pendingFree.reportBytes > 0.0

    /** Allocates [need] from [free]. */
    fun allocate(need: Resources) {
        free -= need
        recordChange()
    }

    /** Reserves [need] from [pendingFree]. */
    fun reservePendingFree(need: Resources) {
        pendingFree -= need
        recordChange()
    }

    /** Plans the stop of a task, which adds its need to [pendingFree]. */
    fun stop(placedTask: PlacedTask) {
        stopped.add(placedTask.attempt)
        pendingFree += placedTask.need
        recordChange()
    }

    /** Time until the job's image is on this machine. */
    fun fetchS(spec: JobSpec): Double =
        when {
            spec.image in images || spec.imageGb <= 0.0 -> 0.0
            type.fetchGbPerS <= 0.0 -> 0.0
            // Concurrent fetches may share the rate. An image that is being fetched is half done on average.
            spec.image in fetching -> spec.imageGb / type.fetchGbPerS * 0.5 * fetching.size
            else -> spec.imageGb / type.fetchGbPerS * (1 + fetching.size)
        }

    companion object {
        /** An empty machine that this plan rents or that is on order, so it has no id yet. */
        fun forRental(
            type: MachineType,
            zone: Zone,
            spot: Boolean,
            readyInS: Double,
        ) = PlanMachine(
            null,
            type,
            zone,
            spot,
            type.resources(),
            readyInS,
            emptySet(),
            emptySet(),
            true,
            Resources.NONE,
            lazyOf(emptyList()),
        )
    }
}
