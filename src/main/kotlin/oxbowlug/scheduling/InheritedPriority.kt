package oxbowlug.scheduling

import oxbowlug.cluster.Job
import oxbowlug.record.Phase
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineType

/**
 * Propagates priorities and deadlines from each waiting job to its predecessors, because users set both only on the
 * last job of a pipeline. A predecessor gets the most urgent of its own priority and those of its successors, and the
 * latest end time with which each of them can still meet its deadline according to the estimates.
 */
internal object InheritedPriority {
    private const val MS_PER_S = 1000.0

    /**
     * Sets the priority and the latest end of all [jobs]. [stageMs] is the overhead of a pipeline stage beside its run
     * time: committing the end of the previous stage, planning, and starting the tasks.
     */
    fun update(
        jobs: Map<JobId, Job>,
        types: Collection<MachineType>,
        stageMs: Long,
    ) {
        val unvisitedSuccessors = HashMap<Job, Int>()
        for (job in jobs.values) {
            job.priority = job.spec.priority
            job.latestEndMs = job.spec.deadlineS?.let { job.submittedMs + (it * MS_PER_S).toLong() }
            forEachPredecessor(job, jobs) { predecessor -> unvisitedSuccessors.merge(predecessor, 1, Int::plus) }
        }
        if (unvisitedSuccessors.isEmpty()) return
        // Reverse topological order: a job is visited after all its successors, so that its values are final.
        val toVisit = ArrayDeque(jobs.values.filter { it !in unvisitedSuccessors && isWaiting(it) })
        while (toVisit.isNotEmpty()) {
            val job = toVisit.removeFirst()
            val latestStartMs = job.latestEndMs?.let { it - expectedDurationMs(job, types) - stageMs }
            forEachPredecessor(job, jobs) { predecessor ->
                predecessor.priority = minOf(predecessor.priority, job.priority)
                predecessor.latestEndMs = earliest(predecessor.latestEndMs, latestStartMs)
                val remaining = unvisitedSuccessors.getValue(predecessor) - 1
                unvisitedSuccessors[predecessor] = remaining
                if (remaining == 0 && isWaiting(predecessor)) toVisit.add(predecessor)
            }
        }
    }

    /** Whether some predecessor of the active [job] isn't done yet. */
    private fun isWaiting(job: Job): Boolean =
        job.phase == Phase.ACTIVE && job.readyMs == null && job.spec.dependsOn.isNotEmpty()

    private inline fun forEachPredecessor(
        job: Job,
        jobs: Map<JobId, Job>,
        action: (Job) -> Unit,
    ) {
        if (!isWaiting(job)) return
        for (id in job.spec.dependsOn) jobs[id]?.let(action)
    }

    /** The estimated run time, with the image fetched on the machine type that fetches fastest. */
    private fun expectedDurationMs(
        job: Job,
        types: Collection<MachineType>,
    ): Long {
        val fetchS =
            types.minOfOrNull { type ->
                if (type.fetchGbPerS > 0.0) job.spec.imageGb / type.fetchGbPerS else 0.0
            } ?: 0.0
        return ((job.spec.runEstimateS + fetchS) * MS_PER_S).toLong()
    }

    /** The earlier of two times, of which null means no limit. */
    private fun earliest(
        one: Long?,
        other: Long?,
    ): Long? =
        when {
            one == null -> other
            other == null -> one
            else -> minOf(one, other)
        }
}
