package oxbowlug.core

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap
import org.slf4j.LoggerFactory
import oxbowlug.wire.Entry
import oxbowlug.wire.Event
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobId
import oxbowlug.wire.JobView
import oxbowlug.wire.ShownState
import oxbowlug.wire.fields

/** A job as the state service has it. [value] is kept only while the job isn't final. */
class StoredJob(
    val phase: Phase,
    val version: Long,
    val tasks: Int,
    val done: Int,
    val placed: Int,
    val value: Map<String, Any?>?,
) {
    fun view(id: JobId): JobView = when (phase) {
        Phase.DONE -> JobView(id, ShownState.DONE, tasks, 0)
        Phase.CANCELLED -> JobView(id, ShownState.CANCELLED, done, 0)
        Phase.ACTIVE -> JobView(id, if (placed > 0) ShownState.RUNNING else ShownState.QUEUED, done, placed)
    }
}

interface ReplicaListener {
    /** The view and the members have been read whole; the jobs are asked for right after this. */
    fun onRoster()

    fun onView(view: View)

    /** [value] is the record as it is stored, also of a job whose record the copy doesn't keep. */
    fun onJob(id: JobId, job: StoredJob, value: Map<String, Any?>)
}

/**
 * This controller's copy of everything under [Keys.ROOT]: read whole once, then kept by a watch. A catch-up read
 * asks for all changes up to now; one such read answers every query that was waiting when it was sent, so that a
 * node never gives an answer older than what another node may have told, at a bounded rate of reads.
 */
class Replica(
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val listener: ReplicaListener,
    /** The leader takes changes up at once, since starts wait for them. */
    private val isLeading: () -> Boolean = { true },
) {
    private val jobs = Object2ObjectOpenHashMap<String, StoredJob>()
    private val members = HashSet<String>()
    private var waiting = ArrayList<(Boolean) -> Unit>()
    private var catchingUp = false
    private var reading = false
    private var watching = false
    private var nextWatchAt = 0L
    private var nextCatchUpAt = 0L
    private var nextReadAt = 0L

    /** All changes up to this revision are in the copy. */
    var revision = 0L
        private set
    var synced = false
        private set

    /** The members are known, though perhaps not the jobs yet. */
    var knowsRoster = false
        private set
    var view: View? = null
        private set
    var deputies: Deputies? = null
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
    var readUpToMs = Long.MIN_VALUE / 2
        private set

    /** A record that another controller has seen in the state service; an older one changes nothing. */
    fun hear(id: JobId, version: Long, value: Map<String, Any?>) {
        try {
            applyJob(Event(Keys.job(id.value), value, version))
        } catch (e: InvalidField) {
            log.error("the record of {} as a peer told it can't be read: {}", id, e.message)
        }
    }

    fun job(id: JobId): StoredJob? = jobs[id.value]

    fun hasMember(key: String): Boolean = key in members

    fun memberCount(): Int = members.size

    fun members(): List<Member> = members.mapNotNull(Keys::memberOf)

    fun forEachActive(action: (JobId, StoredJob) -> Unit) {
        for ((id, job) in jobs) if (!job.phase.isFinal || job.placed > 0) action(JobId(id), job)
    }

    fun tick() {
        val now = clock.steadyMs()
        if (!synced) {
            if (!reading && now >= nextReadAt) readAll()
            return
        }
        if (!watching && now >= nextWatchAt) watch()
        if (!catchingUp && waiting.isNotEmpty() && now >= nextCatchUpAt) startCatchUp()
    }

    /** [waiter] is told true once the copy holds everything that was committed before this call. */
    fun catchUp(waiter: (Boolean) -> Unit) {
        if (!synced) {
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
        state.changes(Keys.ROOT, revision, 0) { outcome ->
            catchingUp = false
            val ok = take(outcome, sentAt)
            for (waiter in group) waiter(ok)
        }
    }

    private fun watch() {
        watching = true
        val sentAt = clock.steadyMs()
        state.changes(Keys.ROOT, revision, timing.watchMs) { outcome ->
            watching = false
            val ok = take(outcome, sentAt)
            nextWatchAt = clock.steadyMs() + if (ok) watchGapMs() else timing.retryMs()
        }
    }

    private fun watchGapMs(): Long = if (isLeading()) timing.watchGapMs else timing.followGapMs

    private fun take(outcome: ChangesOutcome, sentAt: Long): Boolean = when (outcome) {
        is ChangesOutcome.Read -> {
            contacted(sentAt)
            readUpToMs = maxOf(readUpToMs, sentAt)
            val before = revision
            if (outcome.changes.revision > before) {
                revision = outcome.changes.revision
                // Watch and catch-up overlap: what the other one brought already is skipped by its revision.
                for (event in outcome.changes.events) if (event.version > before) apply(event)
            }
            true
        }
        ChangesOutcome.TooOld -> {
            log.info("changes since revision {} are gone, reading everything again", revision)
            synced = false
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
        readPage(Keys.ROSTER, null, ArrayList(), -1L) { entries, from ->
            for (entry in entries) if (entry.key == Keys.VIEW) applyView(Event(entry.key, entry.value, entry.version))
            members.clear()
            entries.forEach { if (it.key.startsWith(Keys.MEMBERS)) members.add(it.key) }
            knowsRoster = true
            listener.onRoster()
            readPage(Keys.ROOT, null, ArrayList(), from) { all, first ->
                reading = false
                reset(all, first)
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

    private fun reset(entries: List<Entry>, from: Long) {
        revision = from
        synced = true
        members.clear()
        val present = entries.mapTo(HashSet(entries.size * 2)) { it.key }
        jobs.keys.retainAll { Keys.job(it) in present }
        for (entry in entries) apply(Event(entry.key, entry.value, entry.version))
        log.info("copied {} entries at revision {}", entries.size, from)
    }

    private fun apply(event: Event) {
        try {
            when {
                event.key == Keys.VIEW -> applyView(event)
                event.key == Keys.DEPUTIES -> event.value?.let { deputies = Deputies.decode(it, event.version) }
                event.key.startsWith(Keys.JOBS) -> applyJob(event)
                event.key.startsWith(Keys.MEMBERS) -> {
                    if (event.value == null) members.remove(event.key) else members.add(event.key)
                }
            }
        } catch (e: InvalidField) {
            log.error("entry {} can't be read: {}", event.key, e.message)
        }
    }

    private fun applyView(event: Event) {
        val value = event.value ?: return
        adopt(View.decode(value, event.version))
    }

    /** A view that is surely in the store, read there or just written. */
    fun adopt(next: View) {
        val present = view
        if (present == null || next.epoch > present.epoch) {
            if (present != null && present.leader != next.leader) formerLeader = present.leader
            view = next
            listener.onView(next)
        }
    }

    private fun applyJob(event: Event) {
        val value = event.value ?: return
        val id = event.key.substring(Keys.JOBS.length)
        val present = jobs[id]
        if (present != null && present.version >= event.version) return
        val stored = StoredJobs.read(value, event.version)
        jobs[id] = stored
        listener.onJob(JobId(id), stored, value)
    }

    private companion object {
        val log = LoggerFactory.getLogger("replica")
    }
}

private object StoredJobs {
    /** Counts tasks without unfolding ranges into objects. */
    fun read(value: Map<String, Any?>, version: Long): StoredJob {
        val fields = value.fields()
        val phase = JobRecord.phaseOf(fields)
        val done = Ranges.decode(fields.textOrNull("done", Int.MAX_VALUE).orEmpty()).cardinality()
        val run = if (fields.has("run")) fields.map("run") else emptyMap()
        val placed = run.values.sumOf { text ->
            (text as String).split(';').sumOf { Ranges.decode(it.substring(it.indexOf(':') + 1)).cardinality() }
        }
        val tasks = fields.map("spec").fields().count("furrows").toInt()
        val keep = !phase.isFinal || placed > 0
        return StoredJob(phase, version, tasks, done, placed, if (keep) value else null)
    }
}
