package oxbowlug.plan

import oxbowlug.resource.resources
import oxbowlug.wire.JobKind

/** Progress in placing the pending tasks of one job. */
internal class JobPlacement(
    val job: PlanJob,
    val team: PlanTeam,
) {
    val need = job.spec.resources()
    val zones = ZoneRule(job)
    val starts = ArrayList<Start>()

    /** Index into [PlanJob.pending] of the next task to place. */
    var nextIndex = 0
    var isUnschedulable = false

    /** Whether the plan has placed as many of the job's tasks as it could. */
    var isFinished = false
    val remaining: Int get() = job.pending.size - nextIndex

    /** Whether the team's guarantee covers the next task, or for a gang all of its pending tasks. */
    fun mayBeGuaranteed(): Boolean =
        team.guarantees(if (job.spec.kind == JobKind.GANG) need * job.pending.size.toDouble() else need)
}
