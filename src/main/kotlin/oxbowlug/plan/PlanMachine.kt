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

internal class PlanMachine(
    /** Null for a machine that this plan rents. */
    val id: MachineId?,
    val type: MachineType,
    val zone: Zone,
    val spot: Boolean,
    free: Resources,
    /** Zero: can be given work now. Otherwise it is booting, or hasn't been heard yet. */
    val readyInS: Double,
    val images: Set<ImageName>,
    val fetching: Set<ImageName>,
    val isEmpty: Boolean,
    /** What those of its tenants take that are on their way out. */
    stoppingUsage: Resources,
    /** Most plans look at few machines' tenants, so they are listed only when asked for. */
    placedTasks: Lazy<List<PlacedTask>>,
    /** No tenant that isn't on its way out is less urgent than this; null where there is none at all. */
    val lowestPriority: Priority? = Priority.LOW,
) {
    val placedTasks: List<PlacedTask> by placedTasks

    /** Counts what this plan changed of its room, so that prices know when they are outdated. */
    var changes = 0
        private set
    private var index = 0
    private var changed: ChangedMachines? = null

    /** From here on [log] is told of each change, under the machine's place in the plan. */
    fun reportChangesTo(
        log: ChangedMachines,
        asIndex: Int,
    ) {
        changed = log
        index = asIndex
    }

    private fun noteChange() {
        changes++
        changed?.add(index)
    }

    var free: Resources = free
        private set

    /** What comes free on its own or through this plan's stops, less what this plan has promised of it. */
    var coming: Resources = stoppingUsage
        private set
    val stopped = HashSet<AttemptId>()
    val isReady: Boolean get() = readyInS <= 0.0
    val isGettingRoom: Boolean get() = coming.cores > 0.0 || coming.gpus > 0.0 || coming.memoryGb > 0.0

    /** Takes [need] of what is free now. */
    fun take(need: Resources) {
        free -= need
        noteChange()
    }

    fun promise(need: Resources) {
        coming -= need
        noteChange()
    }

    fun stop(tenant: PlacedTask) {
        stopped.add(tenant.attempt)
        coming += tenant.need
        noteChange()
    }

    fun fetchS(spec: JobSpec): Double =
        when {
            spec.image in images || spec.imageGb <= 0.0 -> 0.0
            type.fetchGbPerS <= 0.0 -> 0.0
            // Several images fetched at once may share the rate; one already under way is half there on average.
            spec.image in fetching -> spec.imageGb / type.fetchGbPerS * 0.5 * fetching.size
            else -> spec.imageGb / type.fetchGbPerS * (1 + fetching.size)
        }

    companion object {
        /** An empty machine without a name yet. */
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
