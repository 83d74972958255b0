package oxbowlug.scheduling

import oxbowlug.cluster.Job
import oxbowlug.record.Phase
import oxbowlug.wire.JobId
import oxbowlug.wire.MachineType

/**
 * What a job inherits from the jobs that need it: the most urgent of their priorities, and the latest moment at which
 * it may end so that each of them can keep its deadline by the estimates. Users set both on a pipeline's last job only.
 */
internal object InheritedPriority {
    private const val MS_PER_S = 1000.0

    /** [stageMs] is what a stage takes beside its run: the commit of an end, a plan, a start. */
    fun update(
        jobs: Map<JobId, Job>,
        types: Collection<MachineType>,
        stageMs: Long,
    ) {
        val successors = HashMap<Job, Int>()
        for (job in jobs.values) {
            job.priority = job.spec.priority
            job.latestEndMs = job.spec.deadlineS?.let { job.submittedMs + (it * MS_PER_S).toLong() }
            forEachPredecessor(job, jobs) { predecessor -> successors.merge(predecessor, 1, Int::plus) }
        }
        if (successors.isEmpty()) return
        // From the last jobs back to the first: a job passes on what it has once all that need it have told it.
        val toVisit = ArrayDeque(jobs.values.filter { it !in successors && isWaiting(it) })
        while (toVisit.isNotEmpty()) {
            val job = toVisit.removeFirst()
            val latestStartMs = job.latestEndMs?.let { it - lengthMs(job, types) - stageMs }
            forEachPredecessor(job, jobs) { predecessor ->
                predecessor.priority = minOf(predecessor.priority, job.priority)
                predecessor.latestEndMs = earliest(predecessor.latestEndMs, latestStartMs)
                val left = successors.getValue(predecessor) - 1
                successors[predecessor] = left
                if (left == 0 && isWaiting(predecessor)) toVisit.add(predecessor)
            }
        }
    }

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

    private fun lengthMs(
        job: Job,
        types: Collection<MachineType>,
    ): Long {
        val fetchS =
            types.minOfOrNull { type ->
                if (type.fetchGbPerS > 0.0) job.spec.imageGb / type.fetchGbPerS else 0.0
            } ?: 0.0
        return ((job.spec.runEstimateS + fetchS) * MS_PER_S).toLong()
    }

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
