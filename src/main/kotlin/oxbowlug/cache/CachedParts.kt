package oxbowlug.cache

import oxbowlug.record.Keys
import oxbowlug.record.RecordLayout
import oxbowlug.wire.Event
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobId

/**
 * The parts of job records, each with the revision at which it was written, so that torn reads are detected. A head and
 * its changed parts are always written in one transaction, so a part that is newer than a head belongs to a later head.
 * During a full resync the cache may hold a head and such a part together: the pages are read at different revisions,
 * and the changes replayed over them start before the last page. Merged, they would be a record that was never stored.
 */
internal class CachedParts {
    private class Part(
        val value: Map<String, Any?>,
        val revision: Long,
    )

    private val partsByJob = HashMap<String, HashMap<Int, Part>>()

    fun clear() = partsByJob.clear()

    /** Applies the write or removal of a part. Throws [InvalidField] if the key isn't that of a part. */
    fun apply(event: Event) {
        val name = event.key.substring(Keys.PARTS.length)
        val slash = name.lastIndexOf('/')
        val index = name.substring(slash + 1).toIntOrNull()
        if (slash <= 0 || index == null) throw InvalidField("part", "has no number")
        val id = name.substring(0, slash)
        val parts = partsByJob.getOrPut(id, ::HashMap)
        // A replayed change may be older than the page that was read; the change that wrote the cached part follows.
        val isOutdated = (parts[index]?.revision ?: 0) > event.version
        val value = event.value
        when {
            isOutdated -> Unit
            value != null -> parts[index] = Part(value, event.version)
            else -> parts.remove(index)
        }
        if (parts.isEmpty()) partsByJob.remove(id)
    }

    /**
     * Merges the [head] of the record of [id], written at [revision], with its parts. Throws [InvalidField] if a part
     * is missing, was written after the head, or is malformed.
     */
    fun assemble(
        id: JobId,
        head: Map<String, Any?>,
        revision: Long,
    ): Map<String, Any?> {
        val parts = partsByJob[id.value]
        return RecordLayout.merge(head) { index ->
            val part = parts?.get(index)
            if (part != null && part.revision > revision) {
                throw InvalidField("parts[$index]", "is of revision ${part.revision}, later than its head")
            }
            part?.value
        }
    }
}
