package oxbowlug.cache

import oxbowlug.port.ChangesOutcome
import oxbowlug.port.Clock
import oxbowlug.port.StatePort
import oxbowlug.record.DelegateAssignments
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.record.WritableFormat
import oxbowlug.timing.Timing
import oxbowlug.wire.Entry
import oxbowlug.wire.JobId

/**
 * This controller's cache of every entry under [Keys.ROOT] in the state service. A full resync ([FullResync]) fills the
 * cache, and a watch ([ChangeReads]) keeps it up to date; [CachedEntries] holds the entries.
 *
 * Before the cache is used to answer a query, a catch-up read ([catchUp]) fetches all changes committed so far. This
 * rules out stale reads: an answer is never older than one that another controller may already have given. One catch-up
 * read serves every query that is pending when it is sent, which bounds the rate of reads.
 *
 * All times are of the steady clock.
 */
internal class StateCache(
    state: StatePort,
    private val clock: Clock,
    timing: Timing,
    listener: StateCacheListener,
    /** The leader watches at shorter intervals than a follower, because task starts wait for the changes. */
    isLeading: () -> Boolean = { true },
) {
    private val entries = CachedEntries(listener)
    private val resync = FullResync(state, clock, timing, ResyncTarget())
    private val changes = ChangeReads(state, clock, timing, isLeading, ChangesTarget())
    private val createdAtMs = clock.steadyMs()

    /** The cache reflects all changes up to this revision of the state service. */
    var revision = 0L
        private set

    /** Whether a full resync is complete and no later change is known to be missing from the cache. */
    var isSynced = false
        private set

    /** Send time of the latest request that the state service answered. */
    var lastContactMs = Long.MIN_VALUE / 2
        private set

    /** The cache reflects every change that was committed before this time. */
    var freshAsOfMs = Long.MIN_VALUE / 2
        private set

    /** Whether leader and members have been read; a full resync reads them before the jobs. */
    val isMembershipKnown: Boolean get() = entries.isMembershipKnown
    val leadership: LeadershipRecord? get() = entries.leadership

    /** The leader before the present one, or null if this controller has seen no change of leader. */
    val formerLeader: Member? get() = entries.formerLeader
    val delegates: DelegateAssignments? get() = entries.delegates

    /** The layout that may be written according to the format marker, which is never removed once it is set. */
    val writableFormat: WritableFormat get() = entries.writableFormat

    /** Number of full resyncs started, including the first one. */
    val fullResyncs: Long get() = resync.startedCount

    /** Upper bound, at [now], on the age of a committed change that the cache doesn't reflect yet. */
    fun stalenessMs(now: Long): Long = now - freshAsOfMs.coerceAtLeast(createdAtMs)

    fun job(id: JobId): CachedJob? = entries.jobs[id]

    fun forEachActive(action: (JobId, CachedJob) -> Unit) = entries.jobs.forEachActive(action)

    fun dependencyState(predecessors: List<JobId>): DependencyState = entries.jobs.dependencyState(predecessors)

    /** The newest data format that the controller with this label is known to read; null if it is unknown. */
    fun supportedFormatOf(label: String): Long? = entries.supportedFormatOf(label)

    fun hasMember(key: String): Boolean = entries.hasMember(key)

    fun memberCount(): Int = entries.memberCount()

    fun members(): List<Member> = entries.members()

    /** Records that a request of any kind, sent at [sentAt], was answered: the state service is reachable. */
    fun recordContact(sentAt: Long) {
        lastContactMs = maxOf(lastContactMs, sentAt)
    }

    /** Applies a whole job record that a controller read or committed, unless this or a newer one is cached. */
    fun applyRecord(
        id: JobId,
        version: Long,
        value: Map<String, Any?>,
    ) = entries.jobs.applyIfNewer(id, version) { value }

    /** Applies a leadership record that was read from or committed to the state service, if its epoch is newer. */
    fun applyLeadershipRecord(newLeadership: LeadershipRecord) = entries.applyLeadershipRecord(newLeadership)

    /** Sends the requests that are due: those of the full resync, or the watch and catch-up reads once synced. */
    fun tick() {
        val now = clock.steadyMs()
        if (isSynced) changes.tick(now) else resync.tick(now)
    }

    /**
     * Calls [onComplete] with true once the cache reflects everything that was committed before this call, or with
     * false if the cache isn't synced or the read fails.
     */
    fun catchUp(onComplete: (Boolean) -> Unit) {
        if (isSynced) changes.catchUp(onComplete) else onComplete(false)
    }

    private inner class ResyncTarget : FullResync.Target {
        override fun recordContact(sentAt: Long) = this@StateCache.recordContact(sentAt)

        override fun onMembershipRead(entries: List<Entry>) = this@StateCache.entries.replaceMembership(entries)

        override fun onEntriesRead(
            entries: List<Entry>,
            firstRevision: Long,
        ) {
            revision = firstRevision
            isSynced = true
            this@StateCache.entries.replaceAll(entries, firstRevision)
        }
    }

    private inner class ChangesTarget : ChangeReads.Target {
        override val revision: Long get() = this@StateCache.revision

        override fun handleChanges(
            outcome: ChangesOutcome,
            from: Long,
            sentAt: Long,
        ): Boolean =
            when (outcome) {
                is ChangesOutcome.Read -> {
                    applyChanges(outcome, sentAt)
                    true
                }
                ChangesOutcome.Compacted -> {
                    requireResync(from)
                    false
                }
                ChangesOutcome.Failed -> false
            }
    }

    private fun applyChanges(
        outcome: ChangesOutcome.Read,
        sentAt: Long,
    ) {
        recordContact(sentAt)
        freshAsOfMs = maxOf(freshAsOfMs, sentAt)
        val before = revision
        if (outcome.changes.revision > before) {
            revision = outcome.changes.revision
            // Watch and catch-up reads overlap, so events that the other read has already delivered are skipped.
            entries.applyAll(outcome.changes.events.filter { it.version > before })
        }
    }

    private fun requireResync(from: Long) {
        // A read that was sent before the last full resync says nothing about the present cache. Without this check it
        // would cause another full resync, during which no query can be answered.
        if (revision != from || !isSynced) return
        resync.recordReason("changes since revision $from are gone")
        isSynced = false
    }
}
