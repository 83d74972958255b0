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
 * This controller's cache of everything under [Keys.ROOT]: filled by a full resync ([FullResync]), then kept by a watch
 * ([ChangeReads]); the entries themselves are in [CachedEntries]. A catch-up read asks for all changes up to now; one
 * such read answers every query that was waiting when it was sent, so that a controller never gives an answer older
 * than what another one may have told, at a bounded rate of reads. All times are of the steady clock.
 */
internal class StateCache(
    state: StatePort,
    private val clock: Clock,
    timing: Timing,
    listener: StateCacheListener,
    /** The leader applies changes at once, since starts wait for them. */
    isLeading: () -> Boolean = { true },
) {
    private val entries = CachedEntries(listener)
    private val resync = FullResync(state, clock, timing, ResyncTarget())
    private val changes = ChangeReads(state, clock, timing, isLeading, ChangesTarget())
    private val createdAtMs = clock.steadyMs()

    /** All changes up to this revision are in the cache. */
    var revision = 0L
        private set

    /** A full resync is complete, and no change since is known to be missed. */
    var isSynced = false
        private set

    /** When the last answered request to the state service was sent. */
    var lastContactMs = Long.MIN_VALUE / 2
        private set

    /** Up to then, by our clock, every change in the state service is in the cache. */
    var freshAsOfMs = Long.MIN_VALUE / 2
        private set

    /** The members are known, though perhaps not the jobs yet. */
    val isMembershipKnown: Boolean get() = entries.isMembershipKnown
    val leadership: LeadershipRecord? get() = entries.leadership

    /** Who led before, as far as known here. */
    val formerLeader: Member? get() = entries.formerLeader
    val delegates: DelegateAssignments? get() = entries.delegates

    /** By the cached format marker, which is never withdrawn. */
    val writableFormat: WritableFormat get() = entries.writableFormat

    /** How many full resyncs were begun, the first one included. */
    val fullResyncs: Long get() = resync.count

    /** For how long, at [now], changes may have been committed that aren't in the cache. */
    fun stalenessMs(now: Long): Long = now - freshAsOfMs.coerceAtLeast(createdAtMs)

    fun job(id: JobId): CachedJob? = entries.jobs[id]

    fun forEachActive(action: (JobId, CachedJob) -> Unit) = entries.jobs.forEachActive(action)

    fun dependencyState(predecessors: List<JobId>): DependencyState = entries.jobs.dependencyState(predecessors)

    /** The newest layout that the controller with this label is known to read. */
    fun supportedFormatOf(label: String): Long? = entries.supportedFormatOf(label)

    fun hasMember(key: String): Boolean = entries.hasMember(key)

    fun memberCount(): Int = entries.memberCount()

    fun members(): List<Member> = entries.members()

    /** Any other answered request, sent at [sentAt], shows just as well that the service is there. */
    fun recordContact(sentAt: Long) {
        lastContactMs = maxOf(lastContactMs, sentAt)
    }

    /** Applies a whole record that a controller has seen in the state service; an older one changes nothing. */
    fun applyRecord(
        id: JobId,
        version: Long,
        value: Map<String, Any?>,
    ) = entries.jobs.applyIfNewer(id, version) { value }

    /** Applies a leadership record that is surely in the state service, read there or just written. */
    fun applyLeadershipRecord(next: LeadershipRecord) = entries.applyLeadershipRecord(next)

    fun tick() {
        val now = clock.steadyMs()
        if (isSynced) changes.tick(now) else resync.tick(now)
    }

    /** [waiter] is told true once the cache holds everything that was committed before this call. */
    fun catchUp(waiter: (Boolean) -> Unit) {
        if (isSynced) changes.catchUp(waiter) else waiter(false)
    }

    private inner class ResyncTarget : FullResync.Target {
        override fun recordContact(sentAt: Long) = this@StateCache.recordContact(sentAt)

        override fun onMembershipRead(entries: List<Entry>) = this@StateCache.entries.replaceMembership(entries)

        override fun onRead(
            entries: List<Entry>,
            from: Long,
        ) {
            revision = from
            isSynced = true
            this@StateCache.entries.replaceAll(entries, from)
        }
    }

    private inner class ChangesTarget : ChangeReads.Target {
        override val revision: Long get() = this@StateCache.revision

        override fun accept(
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
            // Watch and catch-up overlap: what the other one brought already is skipped by its revision.
            entries.applyAll(outcome.changes.events.filter { it.version > before })
        }
    }

    private fun requireResync(from: Long) {
        // Asked before a full resync, it says nothing of the present cache: counted for that, all would be read once
        // more, and nobody answered meanwhile.
        if (revision != from || !isSynced) return
        resync.require("changes since revision $from are gone")
        isSynced = false
    }
}
