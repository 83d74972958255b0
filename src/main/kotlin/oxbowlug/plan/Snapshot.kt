package oxbowlug.plan

import oxbowlug.resource.Resources
import oxbowlug.wire.JobId
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.Priority
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName
import oxbowlug.wire.Zone

/** What can be rented: a machine type in a zone, spot or on-demand. */
internal data class MachineKind(
    val type: TypeName,
    val zone: Zone,
    val spot: Boolean,
)

/**
 * The tasks of a job that wait for a machine, in the order in which they should start. Their indexes are only read when
 * the first of them is placed: in a full fleet most waiting jobs place none, and there may be thousands of jobs.
 */
internal class PendingTasks(
    val size: Int,
    readIndexes: () -> IntArray,
) {
    private val indexes by lazy(LazyThreadSafetyMode.NONE, readIndexes)

    operator fun get(position: Int): Int = indexes[position]

    companion object {
        /** The tasks 0 to [count] - 1. */
        fun first(count: Int) = PendingTasks(count) { IntArray(count) { it } }
    }
}

/** A job with tasks to place in this round. */
internal class PlanJob(
    val id: JobId,
    val spec: JobSpec,
    val pending: PendingTasks,
    /** Tasks that are or may be on machines, by zone. */
    val tasksByZone: Map<Zone, Int>,
    val waitedS: Double,
    /** Estimated run time; 0 for services. */
    val runEstimateS: Double,
    /** Seconds until the deadline; null if the job has none. */
    val deadlineInS: Double?,
    /** Tardiness weight of its class. */
    val weight: Double,
    /** Machines on which a task of this job failed, or which refused one, a short while ago. */
    val avoid: Set<MachineId>,
    /** Some of its tasks were stopped a moment ago to be moved to other machines. */
    val isMoving: Boolean = false,
    /** Forecast tasks, not submitted yet, for which capacity is reserved; such a job starts and stops nothing. */
    val reservedTasks: Int = 0,
    /** Its own priority, or the more urgent one of a job that depends on it. */
    val priority: Priority = spec.priority,
) {
    val isReserve: Boolean get() = reservedTasks > 0
}

/** The planner's input: the jobs, machines and teams at the start of a round, and the policy for it. */
internal class Snapshot(
    val jobs: List<PlanJob>,
    val machines: List<PlanMachine>,
    val teams: Map<TeamName, PlanTeam>,
    val types: List<MachineType>,
    /** Kinds that the cloud refuses now, with a decaying penalty on those that it refused lately. */
    val refusals: Map<MachineKind, CapacityRefusal>,
    /** The planning horizon: the next round starts after this time at the latest. */
    val horizonS: Double,
    /** How much heavier the tardiness of a postponed job weighs than that of a running one. */
    val postponeFactor: Double,
    /** Cost of an idle slot relative to its price (mu). */
    val idleSlotPenalty: Double,
    /** The most machines that the plan may rent; 0 until this leader knows which machines are rented already. */
    val maxRentals: Int,
    /** The most cores and memory per GPU that any active job takes. */
    val resourcesPerGpu: Resources = Resources.NONE,
    /** A task that has run for less than this isn't moved: the protocol doesn't count a start stopped within 30 s. */
    val settledS: Double = 30.0,
    /** Whether the plan may include a [Consolidation.Move]. */
    val mayMove: Boolean = false,
    /** Weight of a second of start delay for work within a guarantee; 0 if the platform has no objective for it. */
    val guaranteeWeight: Double = 0.0,
)

/** How the cloud's refusals affect a kind: [blocked] ones aren't requested, others cost more by [penalty]. */
internal class CapacityRefusal(
    val blocked: Boolean,
    val penalty: Double,
)
