package oxbowlug.plan

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
