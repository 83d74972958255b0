package oxbowlug.cache

import oxbowlug.record.Phase
import oxbowlug.wire.JobId

/** What the predecessors of a job mean for it. It only ever moves forward. */
internal enum class DependencyState {
    /** Some predecessor isn't done yet. */
    WAITING,

    /** All are committed as done: its tasks may start. */
    READY,

    /** One of them is cancelled, so this job is as well, though its own record may not say so yet. */
    CANCELLED,
    ;

    companion object {
        /** [phaseOf] is null for a job whose record isn't known here, which decides nothing. */
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
