package oxbowlug.commit

import org.slf4j.LoggerFactory
import oxbowlug.cache.StateCache
import oxbowlug.config.Settings
import oxbowlug.port.Clock
import oxbowlug.port.StatePort
import oxbowlug.record.DataFormat
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.WritableFormat
import oxbowlug.timing.Timing
import oxbowlug.wire.Change
import oxbowlug.wire.Condition
import oxbowlug.wire.Transaction

/**
 * Enables the newest layout of stored data once every controller in the settings has started with a software version
 * that reads it.
 *
 * Each controller records what it reads under its own key, which isn't bound to its lease: an upgraded controller is
 * never downgraded, so its entry stays valid while it is stopped, whereas a controller that is stopped now and has no
 * entry may restart with an old version. The leader writes the format marker in a transaction that compares the
 * leadership record; the marker is never removed.
 */
internal class FormatUpgrade(
    private val settings: Settings,
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
) {
    private var isWriting = false
    private var nextWriteAt = 0L
    private val labels = settings.peers.map { it.label } + settings.label

    /** Sends a write if one is due. [leadership] is the record by which this controller leads; null if it doesn't. */
    fun tick(leadership: LeadershipRecord?) {
        val now = clock.steadyMs()
        if (!cache.isSynced || isWriting || now < nextWriteAt) return
        if ((cache.supportedFormatOf(settings.label) ?: 0) < DataFormat.NEWEST) {
            write(now, emptyList(), Change.Put(Keys.format(settings.label), DataFormat.encode(DataFormat.NEWEST)))
        } else if (leadership != null && cache.writableFormat == WritableFormat.SINGLE_VALUE && isNewestReadByAll()) {
            log.info("data format enabled: format={} controllers={}", DataFormat.NEWEST, labels.size)
            val conditions = listOf(Condition(Keys.LEADERSHIP, leadership.version), Condition(Keys.FORMAT_MARKER, 0))
            write(now, conditions, Change.Put(Keys.FORMAT_MARKER, DataFormat.encode(DataFormat.NEWEST)))
        }
    }

    private fun isNewestReadByAll(): Boolean = labels.all { (cache.supportedFormatOf(it) ?: 0) >= DataFormat.NEWEST }

    private fun write(
        now: Long,
        conditions: List<Condition>,
        change: Change,
    ) {
        isWriting = true
        // Until the watch has delivered this write to the state cache, the next tick would repeat it.
        nextWriteAt = now + timing.workerLeaseTtlMs / WRITES_PER_LEASE_TTL
        state.commit(Transaction(conditions, listOf(change))) { isWriting = false }
    }

    private companion object {
        const val WRITES_PER_LEASE_TTL = 10
        val log = LoggerFactory.getLogger("commit")
    }
}
