package oxbowlug.cache

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap
import org.slf4j.LoggerFactory
import oxbowlug.port.ChangesOutcome
import oxbowlug.port.Clock
import oxbowlug.port.StatePort
import oxbowlug.record.DataFormat
import oxbowlug.record.DelegateAssignments
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.record.Phase
import oxbowlug.record.WritableFormat
import oxbowlug.timing.Timing
import oxbowlug.wire.Entry
import oxbowlug.wire.Event
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobId

/**
 * This controller's copy of everything under [Keys.ROOT]: read whole once, then kept by a watch. A catch-up read
 * asks for all changes up to now; one such read answers every query that was waiting when it was sent, so that a
 * node never gives an answer older than what another node may have told, at a bounded rate of reads.
 */
internal class StateCache(
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val listener: StateCacheListener,
    /** The leader takes changes up at once, since starts wait for them. */
    private val isLeading: () -> Boolean = { true },
) {
    private val jobs = Object2ObjectOpenHashMap<String, CachedJob>()
    private val parts = CachedParts()
    private val dependents = Dependents()
    private val members = HashSet<String>()

    /** The newest layout that each controller's version is known to read, by label. */
    private val formats = HashMap<String, Long>()
    private var waiting = ArrayList<(Boolean) -> Unit>()
    private var catchingUp = false
    private var reading = false
    private var watching = false
    private var nextWatchAt = 0L
    private var nextCatchUpAt = 0L
    private var nextReadAt = 0L
    private var createdAtMs = clock.steadyMs()
    private var resyncReason = "this life began"

    /** All changes up to this revision are in the copy. */
    var revision = 0L
        private set
    var isSynced = false
        private set

    /** The members are known, though perhaps not the jobs yet. */
    var knowsMembers = false
        private set
    var leadership: LeadershipRecord? = null
        private set
    var delegates: DelegateAssignments? = null
        private set

    /** By the marker in the copy, which is never taken back. */
    var writableFormat = WritableFormat.SINGLE_VALUE
        private set

    /** Who led before, as far as known here. */
    var formerLeader: Member? = null
        private set

    /** When the last answered request to the state service was sent. */
    var lastContactMs = Long.MIN_VALUE / 2
        private set

    /** Any other answered request shows just as well that the service is there. */
    fun contacted(sentAt: Long) {
        lastContactMs = maxOf(lastContactMs, sentAt)
    }

    /** Up to then, by our clock, every change in the state service is in the copy. */
    var freshAsOfMs = Long.MIN_VALUE / 2
        private set

    /** How often everything was read, the first time included. */
    var fullResyncs = 0L
        private set

    /** The newest reading of all changes was sent so long ago. */
    fun stalenessMs(now: Long): Long = now - freshAsOfMs.coerceAtLeast(createdAtMs)

    /** A whole record that a controller has seen in the state service; an older one changes nothing. */
    fun applyRecord(
        id: JobId,
        version: Long,
        value: Map<String, Any?>,
    ) = applyIfNewer(id, version) { value }

    fun job(id: JobId): CachedJob? = jobs[id.value]

    fun formatOf(label: String): Long? = formats[label]

    fun dependencyState(predecessors: List<JobId>): DependencyState =
        if (predecessors.isEmpty()) {
            DependencyState.READY
        } else {
            DependencyState.of(predecessors) { jobs[it.value]?.phase }
        }

    fun hasMember(key: String): Boolean = key in members

    fun memberCount(): Int = members.size

    fun members(): List<Member> = members.mapNotNull(Keys::memberOf)

    fun forEachActive(action: (JobId, CachedJob) -> Unit) {
        for ((id, job) in jobs) {
            if (!job.phase.isFinal || job.placed > 0 || job.isCancelledByPredecessor) action(JobId(id), job)
        }
    }

    fun tick() {
        val now = clock.steadyMs()
        if (!isSynced) {
            if (!reading && now >= nextReadAt) readAll()
            return
        }
        if (!watching && now >= nextWatchAt) watch()
        if (!catchingUp && waiting.isNotEmpty() && now >= nextCatchUpAt) startCatchUp()
    }

    /** [waiter] is told true once the copy holds everything that was committed before this call. */
    fun catchUp(waiter: (Boolean) -> Unit) {
        if (!isSynced) {
            waiter(false)
            return
        }
        waiting.add(waiter)
        if (!catchingUp && clock.steadyMs() >= nextCatchUpAt) startCatchUp()
    }

    private fun startCatchUp() {
        val group = waiting
        waiting = ArrayList()
        catchingUp = true
        val sentAt = clock.steadyMs()
        nextCatchUpAt = sentAt + timing.catchUpGapMs
        val from = revision
        state.changes(Keys.ROOT, from, 0) { outcome ->
            catchingUp = false
            val ok = applyOutcome(outcome, from, sentAt)
            for (waiter in group) waiter(ok)
        }
    }

    private fun watch() {
        watching = true
        val sentAt = clock.steadyMs()
        val from = revision
        state.changes(Keys.ROOT, from, timing.watchMs) { outcome ->
            watching = false
            val ok = applyOutcome(outcome, from, sentAt)
            nextWatchAt = clock.steadyMs() + if (ok) watchGapMs() else timing.retryMs()
        }
    }

    private fun watchGapMs(): Long = if (isLeading()) timing.watchGapMs else timing.followGapMs

    private fun applyOutcome(
        outcome: ChangesOutcome,
        from: Long,
        sentAt: Long,
    ): Boolean =
        when (outcome) {
            is ChangesOutcome.Read -> {
                contacted(sentAt)
                freshAsOfMs = maxOf(freshAsOfMs, sentAt)
                val before = revision
                if (outcome.changes.revision > before) {
                    revision = outcome.changes.revision
                    // Watch and catch-up overlap: what the other one brought already is skipped by its revision.
                    applyAll(outcome.changes.events.filter { it.version > before })
                }
                true
            }
            ChangesOutcome.TooOld -> {
                // Asked before everything was read anew, it says nothing of the present copy: taken for that, all would be
                // read once more, and nobody answered meanwhile.
                if (revision == from && isSynced) {
                    resyncReason = "changes since revision $from are gone"
                    log.info("reading everything again: {}", resyncReason)
                    isSynced = false
                }
                false
            }
            ChangesOutcome.Failed -> false
        }

    /**
     * Who leads and who is there come first: of all records they are the few that workers wait for, and a controller
     * that starts takes long to read hundreds of jobs.
     */
    private fun readAll() {
        reading = true
        fullResyncs++
        val beganAt = clock.steadyMs()
        readPage(Keys.MEMBERSHIP, null, ArrayList(), -1L) { entries, from ->
            for (entry in entries) {
                if (entry.key ==
                    Keys.LEADERSHIP
                ) {
                    applyLeadership(Event(entry.key, entry.value, entry.version))
                }
            }
            members.clear()
            entries.forEach { if (it.key.startsWith(Keys.MEMBERS)) members.add(it.key) }
            knowsMembers = true
            listener.onMembersRead()
            readPage(Keys.ROOT, null, ArrayList(), from) { all, first ->
                reading = false
                reset(all, first)
                val tookMs = clock.steadyMs() - beganAt
                log.info(
                    "read {} entries from revision {} on in {} ms, since {}",
                    all.size,
                    first,
                    tookMs,
                    resyncReason,
                )
            }
        }
    }

    private fun readPage(
        prefix: String,
        after: String?,
        entries: ArrayList<Entry>,
        firstRevision: Long,
        done: (List<Entry>, Long) -> Unit,
    ) {
        val sentAt = clock.steadyMs()
        state.readPage(prefix, after) { page ->
            if (page == null) {
                reading = false
                nextReadAt = clock.steadyMs() + timing.retryMs()
                // With many pages this may go on for long. In an outage the first one fails again and again.
                if (after != null) log.info("the page after {} failed, {} entries given up", after, entries.size)
            } else {
                contacted(sentAt)
                // Pages are of different moments: changes since the first one are replayed over them.
                val from = if (firstRevision < 0) page.revision else firstRevision
                entries.addAll(page.entries)
                if (page.more && page.entries.isNotEmpty()) {
                    readPage(prefix, page.entries.last().key, entries, from, done)
                } else {
                    done(entries, from)
                }
            }
        }
    }

    private fun reset(
        entries: List<Entry>,
        from: Long,
    ) {
        revision = from
        isSynced = true
        members.clear()
        val present = entries.mapTo(HashSet(entries.size * 2)) { it.key }
        // One that was accepted after its page was read is known from elsewhere, and a change brings it soon.
        jobs.entries.removeIf { (id, job) -> Keys.job(id) !in present && job.version <= from }
        parts.clear()
        val events = entries.map { Event(it.key, it.value, it.version) }
        val (partEvents, others) = events.partition { it.key.startsWith(Keys.PARTS) }
        partEvents.forEach(::apply)
        others.forEach(::apply)
    }

    /** A head is read with its parts, which its transaction may have written too: so these come first. */
    private fun applyAll(events: List<Event>) {
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

    private fun apply(event: Event) {
        try {
            when {
                event.key == Keys.LEADERSHIP -> applyLeadership(event)
                event.key == Keys.DELEGATES ->
                    event.value?.let {
                        delegates = DelegateAssignments.decode(it, event.version)
                    }
                event.key == Keys.FORMAT -> applyMarker(event)
                event.key.startsWith(Keys.JOBS) -> applyJob(event)
                event.key.startsWith(Keys.PARTS) -> parts.apply(event)
                event.key.startsWith(Keys.FORMATS) ->
                    event.value?.let {
                        formats[event.key.substring(Keys.FORMATS.length)] = DataFormat.decode(it)
                    }
                event.key.startsWith(Keys.MEMBERS) -> {
                    if (event.value == null) members.remove(event.key) else members.add(event.key)
                }
            }
        } catch (e: InvalidField) {
            log.error("entry {} can't be read: {}", event.key, e.message)
        }
    }

    private fun applyLeadership(event: Event) {
        val value = event.value ?: return
        adopt(LeadershipRecord.decode(value, event.version))
    }

    /** A view that is surely in the store, read there or just written. */
    fun adopt(next: LeadershipRecord) {
        val present = leadership
        if (present == null || next.epoch > present.epoch) {
            if (present != null && present.leader != next.leader) formerLeader = present.leader
            leadership = next
            listener.onLeaderChanged(next)
        }
    }

    private fun applyMarker(event: Event) {
        if (event.value == null && writableFormat == WritableFormat.HEAD_AND_PARTS) {
            log.error("the format marker is gone; it stays in force here")
            return
        }
        val next = WritableFormat.ofMarker(event.value)
        if (next == writableFormat) return
        if (next == WritableFormat.NONE) log.error("the format marker is of no version known here: nothing is written")
        writableFormat = next
        listener.onWritableFormat(next)
    }

    private fun applyJob(event: Event) {
        val head = event.value ?: return
        val id = JobId(event.key.substring(Keys.JOBS.length))
        applyIfNewer(id, event.version) { parts.whole(id, head, event.version) }
    }

    private fun applyIfNewer(
        id: JobId,
        version: Long,
        whole: () -> Map<String, Any?>,
    ) {
        val present = jobs[id.value]
        if (present != null && present.version >= version) return
        try {
            val value = whole()
            val stored = CachedJob.read(value, version)
            put(id, present, stored)
            listener.onJob(id, stored, value)
            followDependencies(id, stored)
        } catch (e: InvalidField) {
            // It must not look like a job that isn't there, nor like one that is done. Where it is only torn, the
            // change that explains it comes with the replay.
            log.warn("the record of {} at revision {} can't be read: {}", id, version, e.message)
            if (present?.phase?.isFinal != true) jobs[id.value] = CachedJob.unreadable(version)
        }
    }

    private fun put(
        id: JobId,
        present: CachedJob?,
        stored: CachedJob,
    ) {
        jobs[id.value] = stored
        if (present != null && present.dependsOn != stored.dependsOn) dependents.remove(id, present.dependsOn)
        if (stored.dependsOn.isNotEmpty()) dependents.add(id, stored.dependsOn)
    }

    private fun followDependencies(
        id: JobId,
        stored: CachedJob,
    ) {
        val isCalledOff = !stored.phase.isFinal && dependencyState(stored.dependsOn) == DependencyState.CANCELLED
        if (isCalledOff) cancelByPredecessor(id)
        if (stored.phase == Phase.CANCELLED || isCalledOff) cancelDependents(id)
        if (stored.phase == Phase.DONE) for (dependent in dependents.of(id)) listener.onDependencyChanged(dependent)
    }

    /** Everything that needs a cancelled job, directly or through others; chains are long, so it doesn't recurse. */
    private fun cancelDependents(first: JobId) {
        val toVisit = ArrayDeque<JobId>()
        toVisit.add(first)
        while (toVisit.isNotEmpty()) {
            for (dependent in dependents.of(toVisit.removeFirst())) {
                if (cancelByPredecessor(dependent)) toVisit.add(dependent)
            }
        }
    }

    /** False if it was known. */
    private fun cancelByPredecessor(id: JobId): Boolean {
        val present = jobs[id.value] ?: return false
        if (present.phase.isFinal) return false
        jobs[id.value] = present.cancelledByPredecessor()
        listener.onDependencyChanged(id)
        return true
    }

    private companion object {
        val log = LoggerFactory.getLogger("replica")
    }
}
