package oxbowlug.core

import oxbowlug.record.Phase
import oxbowlug.wire.JobId

/** What the jobs that a job names as its predecessors mean for it. It only ever moves forward. */
enum class DependencyState {
    /** Some predecessor isn't done yet. */
    WAITING,

    /** All are done, as committed: its tasks may start. */
    READY,

    /** One of them is cancelled, so this job is as well, though its own record may not say so yet. */
    CANCELLED,
    ;

    companion object {
        /** [phaseOf] is null for a job whose record isn't known here, which decides nothing. */
        fun of(predecessors: List<JobId>, phaseOf: (JobId) -> Phase?): DependencyState {
            var isWaiting = false
            for (predecessor in predecessors) {
                when (phaseOf(predecessor)) {
                    Phase.CANCELLED -> return CANCELLED
                    Phase.DONE -> Unit
                    Phase.ACTIVE, null -> isWaiting = true
                }
            }
            return if (isWaiting) WAITING else READY
        }
    }
}

/** Which unfinished jobs wait for a job: a change of it touches these only, however many jobs there are. */
class Dependents {
    private val byPredecessor = HashMap<String, LinkedHashSet<String>>()

    fun add(id: JobId, predecessors: List<JobId>) {
        for (predecessor in predecessors) byPredecessor.getOrPut(predecessor.value, ::LinkedHashSet).add(id.value)
    }

    fun remove(id: JobId, predecessors: List<JobId>) {
        for (predecessor in predecessors) {
            val dependents = byPredecessor[predecessor.value] ?: continue
            dependents.remove(id.value)
            if (dependents.isEmpty()) byPredecessor.remove(predecessor.value)
        }
    }

    fun of(id: JobId): List<JobId> = byPredecessor[id.value]?.map(::JobId).orEmpty()

    fun clear() = byPredecessor.clear()
}
