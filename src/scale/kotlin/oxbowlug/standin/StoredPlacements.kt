package oxbowlug.standin

import oxbowlug.record.JobRecord
import oxbowlug.record.Keys
import oxbowlug.record.RecordLayout
import oxbowlug.wire.AttemptId
import oxbowlug.wire.InvalidField

/** Whether the stored record of its job names the attempt: only then does whoever leads next know of it. */
internal fun SimStore.isAttemptStored(attempt: AttemptId): Boolean {
    val id = attempt.task.job.value
    val head = entry(Keys.job(id))?.value ?: return false
    return try {
        val whole = RecordLayout.merge(head) { entry(Keys.part(id, it))?.value }
        JobRecord.decode(whole).placements[attempt.task.index]?.attempt == attempt.number
    } catch (_: InvalidField) {
        false
    }
}
