package oxbowlug.plan

import oxbowlug.wire.MachineType
import oxbowlug.wire.Zone

/** Which machines a job allows; [ZoneRule] adds the constraints on zones. */
internal object Constraints {
    fun allow(
        job: PlanJob,
        type: MachineType,
    ): Boolean = job.spec.types?.contains(type.name) ?: true

    fun allow(
        job: PlanJob,
        machine: PlanMachine,
    ): Boolean {
        if (machine.spot && !job.spec.spot) return false
        if (!allow(job, machine.type)) return false
        val id = machine.id
        return id == null || id !in job.avoid
    }
}

/** The zones that a job's next task may go to, given the zones where its other tasks are or may be. */
internal class ZoneRule(
    private val job: PlanJob,
) {
    private val taskCounts = HashMap(job.tasksByZone)

    /** The zone of a one-zone job once it is chosen. */
    var fixedZone: Zone? = if (job.spec.oneZone) job.tasksByZone.keys.firstOrNull() else null

    /** Number of the job's tasks that are or may be in [zone], with those of this plan. */
    fun taskCount(zone: Zone): Int = taskCounts[zone] ?: 0

    fun allows(zone: Zone): Boolean {
        if (job.spec.zone != null && job.spec.zone != zone) return false
        val onlyZone = fixedZone
        if (job.spec.oneZone && onlyZone != null && onlyZone != zone) return false
        return taskCount(zone) < job.spec.maxTasksPerZone
    }

    fun addTask(zone: Zone) {
        taskCounts.merge(zone, 1, Int::plus)
        if (job.spec.oneZone) fixedZone = zone
    }
}
