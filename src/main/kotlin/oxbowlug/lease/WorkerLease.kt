package oxbowlug.lease

/**
 * What a leader knows of one worker's lease under its own token. All times are milliseconds of the leader's steady
 * clock. A lease belongs to an incarnation: what was answered in one says nothing of the next, which begins with a full
 * lease of its own, without any answer.
 */
internal class WorkerLease {
    private var incarnation = 0L
    private var endedIncarnation = 0L

    /** From when the present incarnation's lease counts at the latest; null: no message of the worker was received. */
    var ttlStartMs: Long? = null
        private set

    /**
     * Some message, a direct command's answer too, shows [observed]. Counted on from an answer in the incarnation
     * before, the new incarnation's tasks were given up and started elsewhere while they ran
     * (docs/incidents/broke-at-size-2.md).
     */
    fun onIncarnationObserved(
        observed: Long,
        now: Long,
    ) {
        if (observed <= incarnation) return
        incarnation = observed
        ttlStartMs = now
    }

    /**
     * A heartbeat is being answered so that it renews the lease; the worker counts from when it sent that heartbeat.
     */
    fun onRenewed(now: Long) {
        ttlStartMs = now
    }

    /** Whether it has run out, as long as nobody else may have renewed it. */
    fun isExpired(
        now: Long,
        expiryMs: Long,
    ): Boolean = ttlStartMs?.let { now >= it + expiryMs } ?: false

    /** It has run out, and with it the incarnation that was observed last. */
    fun endIncarnation() {
        endedIncarnation = incarnation
    }

    /** Whether [candidate] has ended. Nothing that a message of it says counts, and nothing may renew it. */
    fun hasEnded(candidate: Long): Boolean = candidate <= endedIncarnation
}
