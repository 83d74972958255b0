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
 * Enables the newest layout of stored data once every controller of the settings has come up with a version that
 * reads it. Each notes that in a key of its own, which outlives its lease: an upgraded controller never comes back old,
 * but one that isn't there now may. The marker is written under the leader's leadership record and is never withdrawn.
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

    /** [leadership] is the record under which this controller leads, or null if it doesn't. */
    fun tick(leadership: LeadershipRecord?) {
        val now = clock.steadyMs()
        if (!cache.isSynced || isWriting || now < nextWriteAt) return
        if ((cache.supportedFormatOf(settings.label) ?: 0) < DataFormat.NEWEST) {
            write(now, emptyList(), Change.Put(Keys.format(settings.label), DataFormat.encode(DataFormat.NEWEST)))
        } else if (leadership != null && cache.writableFormat == WritableFormat.SINGLE_VALUE && areAllReaders()) {
            log.info("data format enabled: format={} controllers={}", DataFormat.NEWEST, labels.size)
            val conditions = listOf(Condition(Keys.LEADERSHIP, leadership.version), Condition(Keys.FORMAT_MARKER, 0))
            write(now, conditions, Change.Put(Keys.FORMAT_MARKER, DataFormat.encode(DataFormat.NEWEST)))
        }
    }

    private fun areAllReaders(): Boolean = labels.all { (cache.supportedFormatOf(it) ?: 0) >= DataFormat.NEWEST }

    private fun write(
        now: Long,
        conditions: List<Condition>,
        change: Change,
    ) {
        isWriting = true
        // The state cache brings what was written; until then it would be written again.
        nextWriteAt = now + timing.workerLeaseTtlMs / PAUSES_PER_LEASE
        state.commit(Transaction(conditions, listOf(change))) { isWriting = false }
    }

    private companion object {
        const val PAUSES_PER_LEASE = 10
        val log = LoggerFactory.getLogger("commit")
    }
}
