package oxbowlug.leader

import oxbowlug.plan.Plan
import oxbowlug.plan.Snapshot

/** How much one planning round was given and what it decided, to be read in logs and metrics. */
internal data class PlanSize(
    /** Jobs with tasks to place, and reservations for forecast tasks. */
    val jobs: Int,
    /** Machines in the snapshot, with those on order. */
    val machines: Int,
    /** Forecast tasks for which capacity was asked. */
    val expectedTasks: Int,
    /** Forecast tasks for which capacity is held or rented. */
    val reservedTasks: Int,
    /** Machines that the round rents. */
    val rentedMachines: Int,
) {
    override fun toString() =
        "jobs=$jobs machines=$machines expectedTasks=$expectedTasks reservedTasks=$reservedTasks " +
            "rentedMachines=$rentedMachines"

    companion object {
        val NONE = PlanSize(0, 0, 0, 0, 0)

        fun of(
            snapshot: Snapshot,
            plan: Plan,
        ) = PlanSize(
            jobs = snapshot.jobs.size,
            machines = snapshot.machines.size,
            expectedTasks = snapshot.jobs.sumOf { it.reservedTasks },
            reservedTasks = plan.reservedTasks,
            rentedMachines = plan.rentals.values.sum(),
        )
    }
}
