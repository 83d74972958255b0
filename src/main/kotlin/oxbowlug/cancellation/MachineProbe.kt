package oxbowlug.cancellation

import oxbowlug.wire.AttemptId

/** What is known of the cancelled attempts on one machine from its worker's own accounts. */
internal class MachineProbe {
    var isInFlight = false
    var nextProbeAt = 0L
    private var absentAttempts: Set<AttemptId> = emptySet()
    private var absentAtMs = 0L

    /** At [atMs] the worker reported that none of [attempts] is there. */
    fun recordAbsence(
        attempts: Set<AttemptId>,
        atMs: Long,
    ) {
        absentAttempts = attempts
        absentAtMs = atMs
    }

    /**
     * What it reported of one job's attempts says nothing of another's: mistaken for it, cancelled tasks on a
     * shared machine ran on, and the machine was kept.
     */
    fun areAbsent(
        attempts: Set<AttemptId>,
        sinceMs: Long,
    ): Boolean = absentAtMs > sinceMs && absentAttempts.containsAll(attempts)
}
