package oxbowlug.commit

import oxbowlug.cache.StateCache
import oxbowlug.cluster.Job
import oxbowlug.config.Settings
import oxbowlug.config.WriteLimits
import oxbowlug.record.JobRecord
import oxbowlug.record.Keys
import oxbowlug.record.RecordLayout
import oxbowlug.record.RequestIds
import oxbowlug.record.StoredRecord
import oxbowlug.record.WritableFormat
import oxbowlug.wire.Change
import oxbowlug.wire.sizeAsJson

/** The changes that store one job's [record] in a transaction. */
internal class PreparedWrite(
    val job: Job,
    val record: JobRecord,
    val stored: StoredRecord,
    val changes: List<Change>,
    /** Whether the changes are built for the layout of heads and parts; the record may still fit into the head. */
    val isHeadAndParts: Boolean,
) {
    val bytes: Int = changes.sumOf { if (it is Change.Put) it.value.sizeAsJson() else 0 }
}

/** Builds the writes of changed jobs in the enabled layout. Sends nothing and modifies no job. */
internal class WritePreparer(
    private val requestIds: RequestIds,
    private val settings: Settings,
    private val cache: StateCache,
) {
    /**
     * The limits on values and transactions in the enabled layout. With heads and parts they also comply with the next
     * limits of the settings, so that no write is refused once those are in force.
     */
    fun limits(): WriteLimits = if (isHeadAndPartsEnabled()) settings.state.lowest else settings.state.present

    /** Returns null if the record is larger than the state service accepts. */
    fun prepare(
        job: Job,
        limits: WriteLimits,
    ): PreparedWrite? {
        val isHeadAndParts = isHeadAndPartsEnabled()
        val record = job.record(requestIds.next(), isBrief = isHeadAndParts)
        val encoded = record.encode()
        val stored = if (isHeadAndParts) RecordLayout(limits).split(encoded) else StoredRecord(encoded, emptyList())
        return stored?.let { PreparedWrite(job, record, it, changes(job, it), isHeadAndParts) }
    }

    private fun isHeadAndPartsEnabled(): Boolean = cache.writableFormat == WritableFormat.HEAD_AND_PARTS

    private fun changes(
        job: Job,
        stored: StoredRecord,
    ): List<Change> {
        val id = job.id.value
        val changes = ArrayList<Change>()
        changes.add(Change.Put(Keys.job(id), stored.head))
        for ((index, part) in stored.parts.withIndex()) {
            if (job.storedParts.getOrNull(index) != part) changes.add(Change.Put(Keys.part(id, index), part))
        }
        for (index in stored.parts.size until job.storedParts.size) changes.add(Change.Delete(Keys.part(id, index)))
        return changes
    }
}
