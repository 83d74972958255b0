package oxbowlug.plan

import oxbowlug.plan.index.ChangedMachines
import oxbowlug.resource.Resources
import oxbowlug.resource.fetchS
import oxbowlug.resource.resources
import oxbowlug.wire.AttemptId
import oxbowlug.wire.ImageName
import oxbowlug.wire.JobId
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.Priority
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName
import oxbowlug.wire.Zone

/** What can be rented: a type in a zone, spot or ordinary. */
internal data class MachineKind(
    val type: TypeName,
    val zone: Zone,
    val spot: Boolean,
)

/** A task that holds part of a machine. */
internal class Tenant(
    val attempt: AttemptId,
    val spec: JobSpec,
    /** Where its job's tasks are. */
    val zoneUse: Map<Zone, Int>,
    /** How long it has run; 0 while it waits for its image. */
    val ranS: Double,
    /** How long its image takes to fetch. */
    private val fetchS: Double,
    val weight: Double,
    /** On its way out: its room comes free by itself. */
    val stopping: Boolean,
    /** Its job's own, or the more urgent one of a job that needs it. */
    val priority: Priority = spec.priority,
) {
    val team: TeamName get() = spec.team
    val need: Resources = spec.resources()

    /** Time to stop it with its work saved. */
    val saveS: Double get() = if (spec.savesWork) spec.saveS else 0.0

    /**
     * Time until it runs again elsewhere. On about every other machine that it may go to it has to fetch its image. A
     * replica is missed meanwhile: priced at less, a young one was stopped for a start that saved only its own fetch.
     */
    val restartS: Double get() = fetchS * if (spec.kind == JobKind.SERVICE) REPLICA_FETCHES else TASK_FETCHES

    /** Work that stopping it would lose. */
    val lossS: Double get() = if (spec.savesWork) spec.saveS else ranS

    private companion object {
        const val TASK_FETCHES = 0.5
        const val REPLICA_FETCHES = 2.0
    }
}

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
    leaving: Resources,
    /** Most plans look at few machines' tenants, so they are listed only when asked for. */
    tenants: Lazy<List<Tenant>>,
    /** No tenant that isn't on its way out is less urgent than this; null where there is none at all. */
    val leastUrgent: Priority? = Priority.LOW,
) {
    val tenants: List<Tenant> by tenants

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
    var coming: Resources = leaving
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

    fun stop(tenant: Tenant) {
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
        fun pendingOrders(
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

internal class PlanJob(
    val id: JobId,
    val spec: JobSpec,
    /** Tasks that wait for a machine, in the order in which they should start. */
    val pending: IntArray,
    /** Tasks that are or may be on machines, by zone. */
    val zoneUse: Map<Zone, Int>,
    val waitedS: Double,
    /** Estimate of the run time; 0 for services. */
    val estimateS: Double,
    /** Seconds until the deadline; null without one. */
    val deadlineInS: Double?,
    val weight: Double,
    /** Machines on which this job failed, or was refused, a short while ago. */
    val avoid: Set<MachineId>,
    /** Some of its tasks were stopped a moment ago to go elsewhere. */
    val isMoving: Boolean = false,
    /** Stands for tasks that are expected, not there yet: holds room, starts nothing and stops nothing. */
    val isReserve: Boolean = false,
    /** Its own, or the more urgent one of a job that needs it. */
    val priority: Priority = spec.priority,
)

internal class PlanTeam(
    val maxCores: Double,
    val maxGpus: Double,
    val guaranteedCores: Double,
    val guaranteedGpus: Double,
) {
    var cores = 0.0
        private set
    var gpus = 0.0
        private set
    private var stoppingCores = 0.0
    private var stoppingGpus = 0.0

    fun add(need: Resources) {
        cores += need.cores
        gpus += need.gpus
    }

    /** [need] is on its way out: it still counts for the limit, but is not borrowed a second time. */
    fun expectStop(need: Resources) {
        stoppingCores += need.cores
        stoppingGpus += need.gpus
    }

    fun hasRoomFor(need: Resources): Boolean =
        cores + need.cores <= maxCores + SLACK && gpus + need.gpus <= maxGpus + SLACK

    /** A guarantee of 0 is none, so a team needs a guarantee in whatever the task takes. */
    fun guarantees(need: Resources): Boolean {
        val anything = guaranteedCores > 0.0 || guaranteedGpus > 0.0
        return anything && within(cores + need.cores, guaranteedCores) && within(gpus + need.gpus, guaranteedGpus)
    }

    /** Whether it stays at or above its guarantee without [need], so that [need] is borrowed. */
    fun borrows(need: Resources): Boolean {
        val coresOver =
            guaranteedCores > 0.0 &&
                need.cores > 0.0 &&
                cores - stoppingCores - need.cores >= guaranteedCores - SLACK
        val gpusOver =
            guaranteedGpus > 0.0 &&
                need.gpus > 0.0 &&
                gpus - stoppingGpus - need.gpus >= guaranteedGpus - SLACK
        val nothingGuaranteed = guaranteedCores <= 0.0 && guaranteedGpus <= 0.0
        return coresOver || gpusOver || nothingGuaranteed
    }

    /** Whether [borrows] can be true of any of its tasks. */
    fun borrowsAnything(): Boolean =
        (guaranteedCores > 0.0 && cores - stoppingCores > guaranteedCores) ||
            (guaranteedGpus > 0.0 && gpus - stoppingGpus > guaranteedGpus) ||
            (guaranteedCores <= 0.0 && guaranteedGpus <= 0.0)

    private fun within(
        value: Double,
        guarantee: Double,
    ) = guarantee <= 0.0 || value <= guarantee + SLACK

    private companion object {
        const val SLACK = 1e-6
    }
}

internal class Snapshot(
    val jobs: List<PlanJob>,
    val machines: List<PlanMachine>,
    val teams: Map<TeamName, PlanTeam>,
    val types: List<MachineType>,
    /** Kinds that refuse now, and a decaying price on those that refused of late. */
    val refusals: Map<MachineKind, CapacityRefusal>,
    val horizonS: Double,
    val postponeFactor: Double,
    val idleSlotPenalty: Double,
    val mayRent: Boolean,
    /** The most cores and memory that a job of today takes beside each GPU. */
    val resourcesPerGpu: Resources = Resources.NONE,
    /** A task that was started less than this long ago is not moved: its start would not count. */
    val settledS: Double = 30.0,
    val mayMove: Boolean = false,
    /** The weight of a second's wait of work that a guarantee covers; 0 where the platform has no such objective. */
    val guaranteeWeight: Double = 0.0,
)

internal class CapacityRefusal(
    val blocked: Boolean,
    val penalty: Double,
)

internal data class Start(
    val job: JobId,
    val task: Int,
    val machine: MachineId,
)

internal class Plan(
    val starts: List<Start>,
    val stops: List<AttemptId>,
    /** Where those of [stops] go that are only moved. */
    val targets: Map<AttemptId, MachineId>,
    val rentals: Map<MachineKind, Int>,
    /** Machines, ready or not, on which this plan relies for tasks that can't start yet. */
    val reserved: Set<MachineId>,
    val unplaced: Int,
    /** How many machines were priced for it: the measure of its work. */
    val priced: Int,
    val move: Consolidation.Move? = null,
)
