package oxbowlug.plan

import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineId

/** Places task [task] of a job on a ready machine. */
internal data class Start(
    val job: JobId,
    val task: Int,
    val machine: MachineId,
)

/** The decisions of one planning round. */
internal class Plan(
    val starts: List<Start>,
    val stops: List<AttemptId>,
    /** For those of [stops] that are moves: the machine on which the task starts next. */
    val targets: Map<AttemptId, MachineId>,
    val rentals: Map<MachineKind, Int>,
    /** Machines, ready or not, that this plan holds for tasks that can't start yet. */
    val reserved: Set<MachineId>,
    /** Number of tasks that fit nowhere, not even on a rental. */
    val unplaced: Int,
    /** How many machine costs the planner computed: the measure of its work. */
    val priced: Int,
    /** Number of forecast tasks for which the plan holds or rents capacity. */
    val reservedTasks: Int,
    /** The job after which the next plan goes on, if this one's time was over before it reached all jobs; else null. */
    val resumeAfter: JobId?,
    val move: Consolidation.Move? = null,
)
