package oxbowlug.cache

import org.slf4j.LoggerFactory
import oxbowlug.port.Clock
import oxbowlug.port.StatePort
import oxbowlug.record.Keys
import oxbowlug.timing.Timing
import oxbowlug.wire.Entry

/**
 * Reads everything under [Keys.ROOT], page by page: once at the start, and again whenever changes were missed. A failed
 * page gives the attempt up; it begins anew after a pause.
 */
internal class FullResync(
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val target: Target,
) {
    /** What becomes of the pages that were read. */
    interface Target {
        /** A request that was sent at [sentAt] by the steady clock was answered. */
        fun recordContact(sentAt: Long)

        /** Leader and members, which are read before all the rest. */
        fun onMembershipRead(entries: List<Entry>)

        /** Everything; changes since revision [from], that of the first page, have to be replayed over it. */
        fun onRead(
            entries: List<Entry>,
            from: Long,
        )
    }

    private var isReading = false
    private var nextAttemptAt = 0L

    /** Why the next one is due. */
    private var reason = "controller started"

    /** How many were begun, the first one included. */
    var count = 0L
        private set

    /**
     * Begins unless one is under way or the pause after a failure isn't over. For as long as the cache isn't synced.
     */
    fun tick(now: Long) {
        if (!isReading && now >= nextAttemptAt) read()
    }

    /** Notes why the next one is due. */
    fun require(newReason: String) {
        reason = newReason
        log.info("full resync required: reason=\"{}\"", reason)
    }

    /**
     * Who leads and who is there come first: of all records they are the few that workers wait for, and a controller
     * that starts takes long to read hundreds of jobs.
     */
    private fun read() {
        isReading = true
        count++
        val beganAt = clock.steadyMs()
        readPage(Keys.MEMBERSHIP, null, ArrayList(), NO_REVISION) { membership, from ->
            target.onMembershipRead(membership)
            readPage(Keys.ROOT, null, ArrayList(), from) { entries, first ->
                isReading = false
                target.onRead(entries, first)
                val elapsedMs = clock.steadyMs() - beganAt
                log.info(
                    "full resync complete: entries={} revision={} elapsedMs={} reason=\"{}\"",
                    entries.size,
                    first,
                    elapsedMs,
                    reason,
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
                isReading = false
                nextAttemptAt = clock.steadyMs() + timing.retryMs()
                // With many pages this may go on for long. In an outage the first one fails again and again.
                if (after != null) log.info("full resync page failed: after={} entries={}", after, entries.size)
            } else {
                target.recordContact(sentAt)
                // Pages are of different moments: changes since the first one are replayed over them.
                val from = if (firstRevision == NO_REVISION) page.revision else firstRevision
                entries.addAll(page.entries)
                if (page.more && page.entries.isNotEmpty()) {
                    readPage(prefix, page.entries.last().key, entries, from, done)
                } else {
                    done(entries, from)
                }
            }
        }
    }

    private companion object {
        /** No page has been answered yet; revisions aren't negative. */
        const val NO_REVISION = -1L
        val log = LoggerFactory.getLogger("cache")
    }
}
