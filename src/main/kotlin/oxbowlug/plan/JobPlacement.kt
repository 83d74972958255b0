package oxbowlug.plan

import oxbowlug.resource.resources
import oxbowlug.wire.JobKind

/** How far the tasks of one job have been placed. */
internal class JobPlacement(
    val job: PlanJob,
    val team: PlanTeam,
) {
    val need = job.spec.resources()
    val zones = ZoneRule(job)
    val starts = ArrayList<Start>()
    var next = 0
    var isStuck = false
    val left: Int get() = job.pending.size - next

    /** A gang needs its guarantee as a whole. */
    fun mayBeGuaranteed(): Boolean =
        team.guarantees(if (job.spec.kind == JobKind.GANG) need * job.pending.size.toDouble() else need)
}
