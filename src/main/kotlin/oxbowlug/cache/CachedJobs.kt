package oxbowlug.cache

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap
import org.slf4j.LoggerFactory
import oxbowlug.record.Keys
import oxbowlug.record.Phase
import oxbowlug.wire.Event
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobId

/**
 * The job records of the state cache, and what follows from them for the jobs that depend on one another. Owned by
 * [CachedEntries]; nobody else changes it.
 */
internal class CachedJobs(
    private val listener: StateCacheListener,
) {
    private val jobs = Object2ObjectOpenHashMap<String, CachedJob>()
    private val parts = CachedParts()
    private val dependents = Dependents()

    operator fun get(id: JobId): CachedJob? = jobs[id.value]

    fun forEachActive(action: (JobId, CachedJob) -> Unit) {
        for ((id, job) in jobs) {
            if (!job.phase.isFinal || job.placed > 0 || job.isCancelledByPredecessor) action(JobId(id), job)
        }
    }

    fun dependencyState(predecessors: List<JobId>): DependencyState =
        if (predecessors.isEmpty()) {
            DependencyState.READY
        } else {
            DependencyState.of(predecessors) { jobs[it.value]?.phase }
        }

    /**
     * Prepares for a full resync at revision [from] that found the keys [present]: all parts are forgotten, and the
     * jobs that are gone.
     */
    fun retain(
        present: Set<String>,
        from: Long,
    ) {
        // One that was accepted after its page was read is known from elsewhere, and a change brings it soon.
        jobs.entries.removeIf { (id, job) -> Keys.job(id) !in present && job.version <= from }
        parts.clear()
    }

    /** Applies a part of a job's record. Throws [InvalidField] if its key isn't that of a part. */
    fun applyPart(event: Event) = parts.apply(event)

    /** Applies the head of a job's record, whose parts have to be applied before. */
    fun applyHead(event: Event) {
        val head = event.value ?: return
        val id = JobId(event.key.substring(Keys.JOBS.length))
        applyIfNewer(id, event.version) { parts.whole(id, head, event.version) }
    }

    /** Applies the record that [whole] joins, unless this or a newer version is cached already. */
    fun applyIfNewer(
        id: JobId,
        version: Long,
        whole: () -> Map<String, Any?>,
    ) {
        val present = jobs[id.value]
        if (present != null && present.version >= version) return
        try {
            val value = whole()
            val stored = CachedJob.read(value, version)
            put(id, present, stored)
            listener.onJob(id, stored, value)
            followDependencies(id, stored)
        } catch (e: InvalidField) {
            // It must not look like a job that isn't there, nor like one that is done. Where it is only torn, the
            // change that explains it comes with the replay.
            log.warn("job record unreadable: job={} revision={} reason=\"{}\"", id, version, e.message)
            if (present?.phase?.isFinal != true) jobs[id.value] = CachedJob.unreadable(version)
        }
    }

    private fun put(
        id: JobId,
        present: CachedJob?,
        stored: CachedJob,
    ) {
        jobs[id.value] = stored
        if (present != null && present.dependsOn != stored.dependsOn) dependents.remove(id, present.dependsOn)
        if (stored.dependsOn.isNotEmpty()) dependents.add(id, stored.dependsOn)
    }

    private fun followDependencies(
        id: JobId,
        stored: CachedJob,
    ) {
        val isCancelled = !stored.phase.isFinal && dependencyState(stored.dependsOn) == DependencyState.CANCELLED
        if (isCancelled) cancelByPredecessor(id)
        if (stored.phase == Phase.CANCELLED || isCancelled) cancelDependents(id)
        if (stored.phase == Phase.DONE) for (dependent in dependents.of(id)) listener.onDependencyChanged(dependent)
    }

    /** Everything that needs a cancelled job, directly or through others; chains are long, so it doesn't recurse. */
    private fun cancelDependents(first: JobId) {
        val toVisit = ArrayDeque<JobId>()
        toVisit.add(first)
        while (toVisit.isNotEmpty()) {
            for (dependent in dependents.of(toVisit.removeFirst())) {
                if (cancelByPredecessor(dependent)) toVisit.add(dependent)
            }
        }
    }

    /** False if it was known to be final already. */
    private fun cancelByPredecessor(id: JobId): Boolean {
        val present = jobs[id.value] ?: return false
        if (present.phase.isFinal) return false
        jobs[id.value] = present.cancelledByPredecessor()
        listener.onDependencyChanged(id)
        return true
    }

    private companion object {
        val log = LoggerFactory.getLogger("cache")
    }
}
