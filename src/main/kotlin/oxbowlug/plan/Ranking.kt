package oxbowlug.plan

internal object Ranking {
    /** By priority, then by the penalty of postponing, then the longest waiting; by id, so that a plan repeats. */
    fun order(
        jobs: List<PlanJob>,
        horizonS: Double,
        postponeFactor: Double,
    ): List<PlanJob> =
        jobs.sortedWith(
            compareBy<PlanJob> { it.priority.ordinal }
                .thenByDescending { postponement(it, horizonS, postponeFactor) }
                .thenByDescending { it.waitedS }
                .thenBy { it.id.value },
        )

    /** omega-hat times the tardiness at stake if the job waits for one more horizon. */
    fun postponement(
        job: PlanJob,
        horizonS: Double,
        postponeFactor: Double,
    ): Double {
        val longest = job.runEstimateS
        // Without a deadline the job gets twice its length, counted from now.
        val deadline = job.deadlineInS ?: (2.0 * longest)
        return postponeFactor * job.weight * maxOf(0.0, horizonS + longest - deadline)
    }
}
