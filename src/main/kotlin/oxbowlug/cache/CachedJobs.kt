package oxbowlug.cache

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap
import org.slf4j.LoggerFactory
import oxbowlug.record.Keys
import oxbowlug.record.Phase
import oxbowlug.wire.Event
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobId

/**
 * The job records in the state cache. Propagates the end and the cancellation of a job to the jobs that depend on it.
 * Modified only through [CachedEntries] and [StateCache].
 */
internal class CachedJobs(
    private val listener: StateCacheListener,
) {
    private val jobs = Object2ObjectOpenHashMap<String, CachedJob>()
    private val parts = CachedParts()
    private val dependents = Dependents()

    operator fun get(id: JobId): CachedJob? = jobs[id.value]

    /** Visits the jobs that aren't final, that still have placements, or whose cancellation isn't stored yet. */
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
     * Prepares for applying a full resync that started at revision [firstRevision] and found the keys [presentKeys]:
     * removes all parts, and the jobs that no longer exist.
     */
    fun removeMissing(
        presentKeys: Set<String>,
        firstRevision: Long,
    ) {
        // A job that was accepted after its page was read is kept: StateCache.applyRecord has applied it already, and
        // the replayed changes contain it.
        jobs.entries.removeIf { (id, job) -> Keys.job(id) !in presentKeys && job.version <= firstRevision }
        parts.clear()
    }

    /** Applies the write or removal of a part. Throws [InvalidField] if the key isn't that of a part. */
    fun applyPart(event: Event) = parts.apply(event)

    /** Applies the head of a job's record. The parts of the same transaction have to be applied before it. */
    fun applyHead(event: Event) {
        val head = event.value ?: return
        val id = JobId(event.key.substring(Keys.JOBS.length))
        applyIfNewer(id, event.version) { parts.assemble(id, head, event.version) }
    }

    /** Applies the record that [assemble] returns, unless [version] or a newer one is already cached. */
    fun applyIfNewer(
        id: JobId,
        version: Long,
        assemble: () -> Map<String, Any?>,
    ) {
        val cached = jobs[id.value]
        if (cached != null && cached.version >= version) return
        try {
            val value = assemble()
            val stored = CachedJob.read(value, version)
            replace(id, cached, stored)
            listener.onJob(id, stored, value)
            updateDependents(id, stored)
        } catch (e: InvalidField) {
            // An unreadable job must appear neither absent nor done. If this is a torn read of a full resync, the
            // replayed changes contain a head and parts that match.
            log.warn("job record unreadable: job={} revision={} reason=\"{}\"", id, version, e.message)
            if (cached?.phase?.isFinal != true) jobs[id.value] = CachedJob.unreadable(version)
        }
    }

    private fun replace(
        id: JobId,
        previous: CachedJob?,
        stored: CachedJob,
    ) {
        jobs[id.value] = stored
        if (previous != null && previous.dependsOn != stored.dependsOn) dependents.remove(id, previous.dependsOn)
        if (stored.dependsOn.isNotEmpty()) dependents.add(id, stored.dependsOn)
    }

    private fun updateDependents(
        id: JobId,
        stored: CachedJob,
    ) {
        val isCancelled = !stored.phase.isFinal && dependencyState(stored.dependsOn) == DependencyState.CANCELLED
        if (isCancelled) cancelByPredecessor(id)
        if (stored.phase == Phase.CANCELLED || isCancelled) cancelDependents(id)
        if (stored.phase == Phase.DONE) for (dependent in dependents.of(id)) listener.onDependencyChanged(dependent)
    }

    /** Marks all direct and transitive dependents of [cancelled]. Iterative, because chains of dependents are long. */
    private fun cancelDependents(cancelled: JobId) {
        val toVisit = ArrayDeque<JobId>()
        toVisit.add(cancelled)
        while (toVisit.isNotEmpty()) {
            for (dependent in dependents.of(toVisit.removeFirst())) {
                if (cancelByPredecessor(dependent)) toVisit.add(dependent)
            }
        }
    }

    /** Marks the cached job as cancelled. Returns false if the job isn't cached or is already final. */
    private fun cancelByPredecessor(id: JobId): Boolean {
        val cached = jobs[id.value] ?: return false
        if (cached.phase.isFinal) return false
        jobs[id.value] = cached.cancelledByPredecessor()
        listener.onDependencyChanged(id)
        return true
    }

    private companion object {
        val log = LoggerFactory.getLogger("cache")
    }
}
