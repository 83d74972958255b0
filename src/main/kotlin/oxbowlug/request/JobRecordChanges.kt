package oxbowlug.request

import oxbowlug.cache.StateCache
import oxbowlug.record.Keys
import oxbowlug.record.RecordLayout
import oxbowlug.record.StoredRecord
import oxbowlug.record.WritableFormat
import oxbowlug.wire.Change
import oxbowlug.wire.JobId

/** Builds the writes that store a job's record: its head and, if the writable format allows parts, its parts. */
internal class JobRecordChanges(
    private val layout: RecordLayout,
    private val cache: StateCache,
) {
    fun isStorable(record: Map<String, Any?>): Boolean = layout.split(record) != null

    fun put(
        id: JobId,
        record: Map<String, Any?>,
    ): List<Change> {
        val whole = StoredRecord(record, emptyList())
        val allowsParts = cache.writableFormat == WritableFormat.HEAD_AND_PARTS
        val form = if (allowsParts) layout.split(record) ?: whole else whole
        return listOf(Change.Put(Keys.job(id.value), form.head)) +
            form.parts.mapIndexed { index, part -> Change.Put(Keys.part(id.value, index), part) }
    }

    /**
     * Replaces [stored] by [record]. Parts of [stored] stay as they are; a record that a controller of the previous
     * software version stored whole is split if it is too large.
     */
    fun replace(
        id: JobId,
        stored: Map<String, Any?>,
        record: Map<String, Any?>,
    ): List<Change> =
        if (RecordLayout.partCount(stored) > 0) {
            listOf(Change.Put(Keys.job(id.value), layout.headOnly(record)))
        } else {
            put(id, record)
        }
}
