package oxbowlug.cache

import oxbowlug.record.Keys
import oxbowlug.record.RecordLayout
import oxbowlug.wire.Event
import oxbowlug.wire.InvalidField
import oxbowlug.wire.JobId

/**
 * The parts of jobs' records, with the revision at which each was written. A head and what changed of its parts are
 * always written in one transaction, so a part that is newer than a head belongs to a later head. Pages of a full
 * resync are of different moments, and the changes replayed over them begin before the last of them: there, heads meet
 * such parts, and joined they would be a record that was never stored.
 */
internal class CachedParts {
    private class Part(
        val value: Map<String, Any?>,
        val revision: Long,
    )

    private val byJob = HashMap<String, HashMap<Int, Part>>()

    fun clear() = byJob.clear()

    /** Applies a part that was written or removed. Throws [InvalidField] if its key isn't that of a part. */
    fun apply(event: Event) {
        val name = event.key.substring(Keys.PARTS.length)
        val slash = name.lastIndexOf('/')
        val index = name.substring(slash + 1).toIntOrNull()
        if (slash <= 0 || index == null) throw InvalidField("part", "has no number")
        val id = name.substring(0, slash)
        val parts = byJob.getOrPut(id, ::HashMap)
        // A replayed change, older than the page that was read: the later one is on its way.
        val isOutdated = (parts[index]?.revision ?: 0) > event.version
        val value = event.value
        when {
            isOutdated -> Unit
            value != null -> parts[index] = Part(value, event.version)
            else -> parts.remove(index)
        }
        if (parts.isEmpty()) byJob.remove(id)
    }

    /**
     * The record of [id] whose [head] was written at [revision], with its parts as they were then. Throws
     * [InvalidField] if one of them is missing, was written later, or can't be read.
     */
    fun whole(
        id: JobId,
        head: Map<String, Any?>,
        revision: Long,
    ): Map<String, Any?> {
        val parts = byJob[id.value]
        return RecordLayout.merge(head) { index ->
            val part = parts?.get(index)
            if (part != null && part.revision > revision) {
                throw InvalidField("parts[$index]", "is of revision ${part.revision}, later than its head")
            }
            part?.value
        }
    }
}
