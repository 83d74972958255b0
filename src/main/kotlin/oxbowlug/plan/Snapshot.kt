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

/** What can be rented: a type in a zone, spot or ordinary. */
internal data class MachineKind(
    val type: TypeName,
    val zone: Zone,
    val spot: Boolean,
)

internal class PlanJob(
    val id: JobId,
    val spec: JobSpec,
    /** Tasks that wait for a machine, in the order in which they should start. */
    val pending: IntArray,
    /** Tasks that are or may be on machines, by zone. */
    val tasksByZone: Map<Zone, Int>,
    val waitedS: Double,
    /** Estimate of the run time; 0 for services. */
    val runEstimateS: Double,
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
