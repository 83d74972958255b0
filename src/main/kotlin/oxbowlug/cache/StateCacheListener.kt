package oxbowlug.cache

import oxbowlug.record.LeadershipRecord
import oxbowlug.record.WritableFormat
import oxbowlug.wire.JobId

/** Callbacks of the state cache, called in the order of the events while the cache applies them. */
internal interface StateCacheListener {
    /** A full resync has read the leadership record and the members; it requests the jobs right after this call. */
    fun onMembershipRead()

    /** A leadership record with a newer epoch was applied; the leader may be the same as before. */
    fun onLeaderChanged(leadership: LeadershipRecord)

    /** A job's record was applied. [value] is the whole record, also where [CachedJob.value] is null. */
    fun onJob(
        id: JobId,
        job: CachedJob,
        value: Map<String, Any?>,
    )

    /** A direct predecessor of [id] is done, or a direct or transitive predecessor is cancelled. */
    fun onDependencyChanged(id: JobId)

    /** The format marker has changed: [format] is the layout that may be written from now on. */
    fun onWritableFormat(format: WritableFormat)
}
