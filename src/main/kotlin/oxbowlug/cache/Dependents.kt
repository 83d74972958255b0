package oxbowlug.cache

import oxbowlug.wire.JobId

/** Index from a job to the jobs that depend on it and aren't final, so that its changes visit only these. */
internal class Dependents {
    private val byPredecessor = HashMap<String, LinkedHashSet<String>>()

    fun add(
        id: JobId,
        predecessors: List<JobId>,
    ) {
        for (predecessor in predecessors) byPredecessor.getOrPut(predecessor.value, ::LinkedHashSet).add(id.value)
    }

    fun remove(
        id: JobId,
        predecessors: List<JobId>,
    ) {
        for (predecessor in predecessors) {
            val dependents = byPredecessor[predecessor.value] ?: continue
            dependents.remove(id.value)
            if (dependents.isEmpty()) byPredecessor.remove(predecessor.value)
        }
    }

    /** The dependents of [id], in the order in which they were added. */
    fun of(id: JobId): List<JobId> = byPredecessor[id.value]?.map(::JobId).orEmpty()

    fun clear() = byPredecessor.clear()
}
