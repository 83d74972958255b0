package oxbowlug.cache

import org.slf4j.LoggerFactory
import oxbowlug.record.DataFormat
import oxbowlug.record.DelegateAssignments
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.record.WritableFormat
import oxbowlug.wire.Entry
import oxbowlug.wire.Event
import oxbowlug.wire.InvalidField

/**
 * The one owner of the cached state: what the state service holds under [Keys.ROOT], kind by kind. It decodes entries
 * and events and tells [listener] what changed; which revision it is at, and when it is read, is the concern of
 * [StateCache].
 */
internal class CachedEntries(
    private val listener: StateCacheListener,
) {
    val jobs = CachedJobs(listener)

    private val memberKeys = HashSet<String>()

    /** The newest layout that each controller's version is known to read, by label. */
    private val formats = HashMap<String, Long>()

    /** The members are known, though perhaps not the jobs yet. */
    var isMembershipKnown = false
        private set
    var leadership: LeadershipRecord? = null
        private set

    /** Who led before, as far as known here. */
    var formerLeader: Member? = null
        private set
    var delegates: DelegateAssignments? = null
        private set

    /** By the cached format marker, which is never withdrawn. */
    var writableFormat = WritableFormat.SINGLE_VALUE
        private set

    fun supportedFormatOf(label: String): Long? = formats[label]

    fun hasMember(key: String): Boolean = key in memberKeys

    fun memberCount(): Int = memberKeys.size

    fun members(): List<Member> = memberKeys.mapNotNull(Keys::memberOf)

    /** Replaces the membership, and applies the leadership record, by what was read of [Keys.MEMBERSHIP]. */
    fun replaceMembership(entries: List<Entry>) {
        for (entry in entries) {
            if (entry.key == Keys.LEADERSHIP) applyLeadership(Event(entry.key, entry.value, entry.version))
        }
        memberKeys.clear()
        entries.forEach { if (it.key.startsWith(Keys.MEMBERS)) memberKeys.add(it.key) }
        isMembershipKnown = true
        listener.onMembershipRead()
    }

    /** Replaces everything by the result of a full resync, whose first page was read at revision [from]. */
    fun replaceAll(
        entries: List<Entry>,
        from: Long,
    ) {
        memberKeys.clear()
        jobs.retain(entries.mapTo(HashSet(entries.size * 2)) { it.key }, from)
        val events = entries.map { Event(it.key, it.value, it.version) }
        val (partEvents, others) = events.partition { it.key.startsWith(Keys.PARTS) }
        partEvents.forEach(::apply)
        others.forEach(::apply)
    }

    /**
     * Applies events in the order of their revisions. A head is read with its parts, which its transaction may have
     * written too: so these come first.
     */
    fun applyAll(events: List<Event>) {
        var from = 0
        while (from < events.size) {
            val revision = events[from].version
            var to = from
            while (to < events.size && events[to].version == revision) to++
            val transaction = events.subList(from, to)
            for (event in transaction) if (event.key.startsWith(Keys.PARTS)) apply(event)
            for (event in transaction) if (!event.key.startsWith(Keys.PARTS)) apply(event)
            from = to
        }
    }

    /** Applies a leadership record that is surely in the state service, read there or just written. */
    fun applyLeadershipRecord(next: LeadershipRecord) {
        val present = leadership
        if (present == null || next.epoch > present.epoch) {
            if (present != null && present.leader != next.leader) formerLeader = present.leader
            leadership = next
            listener.onLeaderChanged(next)
        }
    }

    private fun apply(event: Event) {
        try {
            when {
                event.key == Keys.LEADERSHIP -> applyLeadership(event)
                event.key == Keys.DELEGATES -> applyDelegates(event)
                event.key == Keys.FORMAT_MARKER -> applyFormatMarker(event)
                event.key.startsWith(Keys.JOBS) -> jobs.applyHead(event)
                event.key.startsWith(Keys.PARTS) -> jobs.applyPart(event)
                event.key.startsWith(Keys.SUPPORTED_FORMATS) -> applyFormat(event)
                event.key.startsWith(Keys.MEMBERS) -> applyMember(event)
            }
        } catch (e: InvalidField) {
            log.error("entry unreadable: key={} revision={} reason=\"{}\"", event.key, event.version, e.message)
        }
    }

    private fun applyLeadership(event: Event) {
        val value = event.value ?: return
        applyLeadershipRecord(LeadershipRecord.decode(value, event.version))
    }

    private fun applyDelegates(event: Event) {
        val value = event.value ?: return
        delegates = DelegateAssignments.decode(value, event.version)
    }

    private fun applyFormat(event: Event) {
        val value = event.value ?: return
        formats[event.key.substring(Keys.SUPPORTED_FORMATS.length)] = DataFormat.decode(value)
    }

    private fun applyMember(event: Event) {
        if (event.value == null) memberKeys.remove(event.key) else memberKeys.add(event.key)
    }

    private fun applyFormatMarker(event: Event) {
        if (event.value == null && writableFormat == WritableFormat.HEAD_AND_PARTS) {
            log.error("format marker removed, stays in force: revision={} format={}", event.version, writableFormat)
            return
        }
        val next = WritableFormat.ofMarker(event.value)
        if (next == writableFormat) return
        if (next == WritableFormat.NONE) {
            log.error("format marker unknown, nothing is written: revision={} format={}", event.version, next)
        }
        writableFormat = next
        listener.onWritableFormat(next)
    }

    private companion object {
        val log = LoggerFactory.getLogger("cache")
    }
}
