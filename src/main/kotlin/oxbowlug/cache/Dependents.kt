package oxbowlug.cache

import oxbowlug.wire.JobId

/** Which unfinished jobs wait for a job: a change of it touches these only, however many jobs there are. */
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

    fun of(id: JobId): List<JobId> = byPredecessor[id.value]?.map(::JobId).orEmpty()

    fun clear() = byPredecessor.clear()
}
