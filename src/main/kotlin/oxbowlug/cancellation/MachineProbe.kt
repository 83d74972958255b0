package oxbowlug.cancellation

import oxbowlug.wire.AttemptId

/** The probes of one machine's worker, and what it last reported about the cancelled attempts there. */
internal class MachineProbe {
    var isInFlight = false
    var nextProbeAt = 0L
    private var absentAttempts: Set<AttemptId> = emptySet()
    private var absentAtMs = 0L

    /** At [atMs] the worker reported that none of [attempts] is present. */
    fun recordAbsence(
        attempts: Set<AttemptId>,
        atMs: Long,
    ) {
        absentAttempts = attempts
        absentAtMs = atMs
    }

    /**
     * Whether the worker reported after [sinceMs] that all of [attempts] are absent. The attempts are compared too:
     * when the report about one job counted for another one, cancelled tasks on a shared machine kept running and the
     * machine wasn't released.
     */
    fun areAbsent(
        attempts: Set<AttemptId>,
        sinceMs: Long,
    ): Boolean = absentAtMs > sinceMs && absentAttempts.containsAll(attempts)
}
