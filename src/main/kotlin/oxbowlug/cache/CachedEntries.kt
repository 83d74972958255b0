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
 * The decoded entries of the state service under [Keys.ROOT], grouped by kind. Decodes entries and events, applies them
 * and notifies [listener] of changes. [StateCache] tracks the revision and schedules the reads.
 */
internal class CachedEntries(
    private val listener: StateCacheListener,
) {
    val jobs = CachedJobs(listener)

    private val memberKeys = HashSet<String>()

    /** The newest data format that each controller is known to read, by label. */
    private val supportedFormats = HashMap<String, Long>()

    /** Whether leader and members have been read; a full resync reads them before the jobs. */
    var isMembershipKnown = false
        private set
    var leadership: LeadershipRecord? = null
        private set

    /** The leader before the present one, or null if this controller has seen no change of leader. */
    var formerLeader: Member? = null
        private set
    var delegates: DelegateAssignments? = null
        private set

    /** The layout that may be written according to the format marker, which is never removed once it is set. */
    var writableFormat = WritableFormat.SINGLE_VALUE
        private set

    fun supportedFormatOf(label: String): Long? = supportedFormats[label]

    fun hasMember(key: String): Boolean = key in memberKeys

    fun memberCount(): Int = memberKeys.size

    fun members(): List<Member> = memberKeys.mapNotNull(Keys::memberOf)

    /** Applies the leadership record and replaces the members by the [entries] read under [Keys.MEMBERSHIP]. */
    fun replaceMembership(entries: List<Entry>) {
        for (entry in entries) {
            if (entry.key == Keys.LEADERSHIP) applyLeadershipEvent(Event(entry.key, entry.value, entry.version))
        }
        memberKeys.clear()
        entries.forEach { if (it.key.startsWith(Keys.MEMBERS)) memberKeys.add(it.key) }
        isMembershipKnown = true
        listener.onMembershipRead()
    }

    /**
     * Replaces members and jobs by the result of a full resync, whose first page was read at revision
     * [firstRevision], and applies its other entries.
     */
    fun replaceAll(
        entries: List<Entry>,
        firstRevision: Long,
    ) {
        memberKeys.clear()
        jobs.removeMissing(entries.mapTo(HashSet(entries.size * 2)) { it.key }, firstRevision)
        val events = entries.map { Event(it.key, it.value, it.version) }
        val (partEvents, otherEvents) = events.partition { it.key.startsWith(Keys.PARTS) }
        partEvents.forEach(::apply)
        otherEvents.forEach(::apply)
    }

    /**
     * Applies events in the order of their revisions, one transaction at a time. Within a transaction parts are applied
     * before heads, because applying the head of a job's record also reads the parts.
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

    /** Applies a leadership record that was read from or committed to the state service, if its epoch is newer. */
    fun applyLeadershipRecord(newLeadership: LeadershipRecord) {
        val current = leadership
        if (current == null || newLeadership.epoch > current.epoch) {
            if (current != null && current.leader != newLeadership.leader) formerLeader = current.leader
            leadership = newLeadership
            listener.onLeaderChanged(newLeadership)
        }
    }

    private fun apply(event: Event) {
        try {
            when {
                event.key == Keys.LEADERSHIP -> applyLeadershipEvent(event)
                event.key == Keys.DELEGATES -> applyDelegates(event)
                event.key == Keys.FORMAT_MARKER -> applyFormatMarker(event)
                event.key.startsWith(Keys.JOBS) -> jobs.applyHead(event)
                event.key.startsWith(Keys.PARTS) -> jobs.applyPart(event)
                event.key.startsWith(Keys.SUPPORTED_FORMATS) -> applySupportedFormat(event)
                event.key.startsWith(Keys.MEMBERS) -> applyMember(event)
            }
        } catch (e: InvalidField) {
            log.error("entry unreadable: key={} revision={} reason=\"{}\"", event.key, event.version, e.message)
        }
    }

    private fun applyLeadershipEvent(event: Event) {
        val value = event.value ?: return
        applyLeadershipRecord(LeadershipRecord.decode(value, event.version))
    }

    private fun applyDelegates(event: Event) {
        val value = event.value ?: return
        delegates = DelegateAssignments.decode(value, event.version)
    }

    private fun applySupportedFormat(event: Event) {
        val value = event.value ?: return
        supportedFormats[event.key.substring(Keys.SUPPORTED_FORMATS.length)] = DataFormat.decode(value)
    }

    private fun applyMember(event: Event) {
        if (event.value == null) memberKeys.remove(event.key) else memberKeys.add(event.key)
    }

    private fun applyFormatMarker(event: Event) {
        if (event.value == null && writableFormat == WritableFormat.HEAD_AND_PARTS) {
            log.error(
                "format marker removed, its format stays enabled: revision={} format={}",
                event.version,
                writableFormat,
            )
            return
        }
        val newFormat = WritableFormat.ofMarker(event.value)
        if (newFormat == writableFormat) return
        if (newFormat == WritableFormat.NONE) {
            log.error("format marker unknown, nothing is written: revision={} format={}", event.version, newFormat)
        }
        writableFormat = newFormat
        listener.onWritableFormat(newFormat)
    }

    private companion object {
        val log = LoggerFactory.getLogger("cache")
    }
}
