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

/** One job's changes for a transaction, and the record that they store. */
internal class PreparedWrite(
    val job: Job,
    val record: JobRecord,
    val form: StoredRecord,
    val changes: List<Change>,
    /** Built for the format of heads and parts. */
    val isSplit: Boolean,
) {
    val bytes: Int = changes.sumOf { if (it is Change.Put) it.value.sizeAsJson() else 0 }
}

/** Builds the writes of changed jobs in the format that is in force. Sends nothing and changes no job. */
internal class WritePreparer(
    private val requestIds: RequestIds,
    private val settings: Settings,
    private val cache: StateCache,
) {
    /** The limits by which values and transactions are built in the format in force. */
    fun limits(): WriteLimits = if (isSplitInForce()) settings.state.lowest else settings.state.present

    /** Null if the record is larger than the state service accepts. */
    fun prepare(
        job: Job,
        limits: WriteLimits,
    ): PreparedWrite? {
        val isSplit = isSplitInForce()
        val record = job.record(requestIds.next(), isBrief = isSplit)
        val whole = record.encode()
        val form = if (isSplit) RecordLayout(limits).split(whole) else StoredRecord(whole, emptyList())
        return form?.let { PreparedWrite(job, record, it, changes(job, it), isSplit) }
    }

    private fun isSplitInForce(): Boolean = cache.writableFormat == WritableFormat.HEAD_AND_PARTS

    private fun changes(
        job: Job,
        form: StoredRecord,
    ): List<Change> {
        val id = job.id.value
        val changes = ArrayList<Change>()
        changes.add(Change.Put(Keys.job(id), form.head))
        for ((index, part) in form.parts.withIndex()) {
            if (job.storedParts.getOrNull(index) != part) changes.add(Change.Put(Keys.part(id, index), part))
        }
        for (index in form.parts.size until job.storedParts.size) changes.add(Change.Delete(Keys.part(id, index)))
        return changes
    }
}
