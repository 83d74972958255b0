package oxbowlug.plan

import oxbowlug.wire.MachineType
import oxbowlug.wire.Zone

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

/** Where a job's next task may go, given where its others are or may be. */
internal class ZoneRule(
    private val job: PlanJob,
) {
    private val use = HashMap(job.tasksByZone)
    var fixed: Zone? = if (job.spec.oneZone) job.tasksByZone.keys.firstOrNull() else null

    fun used(zone: Zone): Int = use[zone] ?: 0

    fun allows(zone: Zone): Boolean {
        if (job.spec.zone != null && job.spec.zone != zone) return false
        val only = fixed
        if (job.spec.oneZone && only != null && only != zone) return false
        return used(zone) < job.spec.maxTasksPerZone
    }

    fun use(zone: Zone) {
        use.merge(zone, 1, Int::plus)
        if (job.spec.oneZone) fixed = zone
    }
}
