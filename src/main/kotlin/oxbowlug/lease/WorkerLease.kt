package oxbowlug.lease

/**
 * The leader's record of one worker's lease under the leader's own fencing token. All times are milliseconds of the
 * leader's steady clock.
 *
 * A lease belongs to one incarnation of the worker. Each incarnation starts with a full lease, before any heartbeat of
 * it is answered, so renewals of an earlier incarnation's lease say nothing about the lease of the next one.
 */
internal class WorkerLease {
    private var newestIncarnation = 0L
    private var endedIncarnation = 0L

    /**
     * The latest moment at which the TTL of the newest incarnation's lease may have started, or null if no message of
     * the worker was received.
     */
    var ttlStartMs: Long? = null
        private set

    /**
     * Restarts the TTL if [incarnation] is newer than all before. It is called for every message of the worker,
     * including the answer to a direct command. When the TTL was still counted from the last renewal of the previous
     * incarnation, the new incarnation's lease was declared expired too early, and its tasks were started on other
     * machines while they still ran (docs/incidents/broke-at-size-2.md).
     */
    fun onIncarnationObserved(
        incarnation: Long,
        now: Long,
    ) {
        if (incarnation <= newestIncarnation) return
        newestIncarnation = incarnation
        ttlStartMs = now
    }

    /**
     * Restarts the TTL because the answer to a heartbeat renews the lease. The worker counts from when it sent that
     * heartbeat, so its lease expires no later than this record's.
     */
    fun onRenewed(now: Long) {
        ttlStartMs = now
    }

    /**
     * Whether [expiryMs] have passed since the TTL was last restarted. This proves that the lease has expired only if
     * no other controller can have renewed it.
     */
    fun isExpired(
        now: Long,
        expiryMs: Long,
    ): Boolean = ttlStartMs?.let { now >= it + expiryMs } ?: false

    /** Marks the newest incarnation as ended, since its lease has expired. */
    fun endIncarnation() {
        endedIncarnation = newestIncarnation
    }

    /** Whether [incarnation] has ended: its messages are ignored, and its lease must not be renewed. */
    fun hasEnded(incarnation: Long): Boolean = incarnation <= endedIncarnation
}
