package oxbowlug.plan

import oxbowlug.wire.AttemptId
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineId

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
