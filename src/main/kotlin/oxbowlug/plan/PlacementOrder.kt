package oxbowlug.plan

import oxbowlug.wire.JobId

/** The order in which a planning round places jobs. */
internal object Ranking {
    /** By priority, then penalty of postponing, then time waited; last by id, so that equal inputs give equal plans. */
    fun order(
        jobs: List<PlanJob>,
        horizonS: Double,
        postponeFactor: Double,
    ): List<PlanJob> =
        jobs.sortedWith(
            compareBy<PlanJob> { it.priority.ordinal }
                .thenByDescending { postponementPenalty(it, horizonS, postponeFactor) }
                .thenByDescending { it.waitedS }
                .thenBy { it.id.value },
        )

    /** The weight of a postponed job (omega-hat) times its tardiness if it starts one horizon later. */
    fun postponementPenalty(
        job: PlanJob,
        horizonS: Double,
        postponeFactor: Double,
    ): Double {
        val runS = job.runEstimateS
        // A job without a deadline gets one after twice its estimated run time from now.
        val deadline = job.deadlineInS ?: (2.0 * runS)
        return postponeFactor * job.weight * maxOf(0.0, horizonS + runS - deadline)
    }
}

/** The time that a plan may take for its placements, counted from the creation of this object. */
internal class PlanTimeLimit(
    private val limitNanos: Long,
    private val nanoTime: () -> Long,
) {
    private val beganNanos = nanoTime()

    val isHalfOver: Boolean get() = nanoTime() - beganNanos >= limitNanos / 2
    val isOver: Boolean get() = nanoTime() - beganNanos >= limitNanos

    companion object {
        val NONE = PlanTimeLimit(Long.MAX_VALUE) { 0L }
    }
}

/**
 * The order in which a plan places the tasks of [ranked] jobs. How many jobs wait is up to users, so the plan ends when
 * its time is over: the event loop has to renew the leader's lease. The first half of the time goes to jobs by rank.
 * The rest goes to the other jobs in turn, by id and from plan to plan, so that jobs which fit nowhere don't keep all
 * others waiting.
 */
internal class PlacementOrder(
    private val ranked: List<JobPlacement>,
    private val timeLimit: PlanTimeLimit,
    /** The last job that the former plan reached, if its time was over; else null. */
    private val resumeAfter: JobId?,
) {
    /** Calls [place] for each job. Returns the last one that was reached in turn, or null if all were. */
    fun forEach(place: (placement: JobPlacement, guaranteedOnly: Boolean) -> Unit): JobId? {
        // Tasks that are being moved come first: they were stopped because another machine has capacity for them.
        for (placement in ranked) if (placement.job.isMoving) place(placement, false)
        return if (placeByRank(place)) null else placeInTurn(place)
    }

    /** Returns whether all jobs were reached. */
    private fun placeByRank(place: (JobPlacement, Boolean) -> Unit): Boolean {
        // Work within a guarantee may preempt borrowing work of any priority, so it is placed first. Placed later, it
        // would stop tasks that the same plan had started, again in every round.
        for (placement in ranked) {
            if (timeLimit.isHalfOver) return false
            if (placement.mayBeGuaranteed()) place(placement, true)
        }
        for (placement in ranked) {
            if (timeLimit.isHalfOver) return false
            place(placement, false)
            placement.isFinished = true
        }
        return true
    }

    /** Reaches at least one job, however little time is left. */
    private fun placeInTurn(place: (JobPlacement, Boolean) -> Unit): JobId? {
        val others = ranked.filterNot { it.isFinished }.sortedBy { it.job.id.value }
        val (before, after) = others.partition { resumeAfter != null && it.job.id.value <= resumeAfter.value }
        val inTurn = after + before
        for (placement in inTurn) {
            if (placement.mayBeGuaranteed()) place(placement, true)
            place(placement, false)
            if (timeLimit.isOver && placement !== inTurn.last()) return placement.job.id
        }
        return null
    }
}
