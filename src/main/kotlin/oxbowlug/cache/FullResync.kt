package oxbowlug.cache

import org.slf4j.LoggerFactory
import oxbowlug.port.Clock
import oxbowlug.port.StatePort
import oxbowlug.record.Keys
import oxbowlug.timing.Timing
import oxbowlug.wire.Entry

/**
 * Reads all entries under [Keys.ROOT], page by page: when the controller starts, and again when changes were missed and
 * the state service no longer has them. If a page fails, the attempt ends and a new one starts after a pause.
 */
internal class FullResync(
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val target: Target,
) {
    /** The cache that the pages are applied to. */
    interface Target {
        /** Called when a request that was sent at [sentAt] by the steady clock has been answered. */
        fun recordContact(sentAt: Long)

        /** Called with the entries under [Keys.MEMBERSHIP], which are read before all others. */
        fun onMembershipRead(entries: List<Entry>)

        /**
         * Called with all entries. The target replays the changes since revision [firstRevision], that of the first
         * page, because the pages are read one after another.
         */
        fun onEntriesRead(
            entries: List<Entry>,
            firstRevision: Long,
        )
    }

    private var isRunning = false
    private var nextAttemptAt = 0L

    /** Why the full resync that is due or running is needed; for the log. */
    private var reason = "controller started"

    /** Number of full resyncs started, including the first one. */
    var startedCount = 0L
        private set

    /**
     * Starts a full resync unless one is running or the pause after a failure isn't over. Called only while the cache
     * isn't synced.
     */
    fun tick(now: Long) {
        if (!isRunning && now >= nextAttemptAt) start()
    }

    /** Records why another full resync is needed; [tick] starts it. */
    fun recordReason(newReason: String) {
        reason = newReason
        log.info("full resync required: reason=\"{}\"", reason)
    }

    /**
     * Reads leader and members first: they are few entries, the controller can't answer workers without them, and
     * reading hundreds of jobs takes long.
     */
    private fun start() {
        isRunning = true
        startedCount++
        val startedAt = clock.steadyMs()
        readPage(Keys.MEMBERSHIP, null, ArrayList(), NO_REVISION) { membership, membershipRevision ->
            target.onMembershipRead(membership)
            readPage(Keys.ROOT, null, ArrayList(), membershipRevision) { entries, firstRevision ->
                isRunning = false
                target.onEntriesRead(entries, firstRevision)
                val elapsedMs = clock.steadyMs() - startedAt
                log.info(
                    "full resync complete: entries={} revision={} elapsedMs={} reason=\"{}\"",
                    entries.size,
                    firstRevision,
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
        onLastPage: (List<Entry>, Long) -> Unit,
    ) {
        val sentAt = clock.steadyMs()
        state.readPage(prefix, after) { page ->
            if (page == null) {
                isRunning = false
                nextAttemptAt = clock.steadyMs() + timing.retryMs()
                // A failed first page isn't logged, since during an outage it fails on every attempt. A later page is:
                // a full resync of many pages may fail repeatedly for a long time.
                if (after != null) log.info("full resync page failed: after={} entries={}", after, entries.size)
            } else {
                target.recordContact(sentAt)
                // Pages are read at different revisions; the changes since the first page are replayed over them.
                val startRevision = if (firstRevision == NO_REVISION) page.revision else firstRevision
                entries.addAll(page.entries)
                if (page.more && page.entries.isNotEmpty()) {
                    readPage(prefix, page.entries.last().key, entries, startRevision, onLastPage)
                } else {
                    onLastPage(entries, startRevision)
                }
            }
        }
    }

    private companion object {
        /** No page has been read yet; revisions aren't negative. */
        const val NO_REVISION = -1L
        val log = LoggerFactory.getLogger("cache")
    }
}
