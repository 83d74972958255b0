package oxbowlug.cache

import oxbowlug.record.Phase
import oxbowlug.wire.JobId

/** Whether the predecessors of a job allow its tasks to start. Only [WAITING] ever changes to another state. */
internal enum class DependencyState {
    /** At least one predecessor isn't done yet, and none is cancelled. */
    WAITING,

    /** All predecessors are committed as done: the job's tasks may start. */
    READY,

    /** A predecessor is cancelled, so this job is as well, though its own stored record may not say so yet. */
    CANCELLED,
    ;

    companion object {
        /** [phaseOf] returns null for a job whose record isn't cached; such a job counts as not done. */
        fun of(
            predecessors: List<JobId>,
            phaseOf: (JobId) -> Phase?,
        ): DependencyState {
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
