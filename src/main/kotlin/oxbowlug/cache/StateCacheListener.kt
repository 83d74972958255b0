package oxbowlug.cache

import oxbowlug.record.LeadershipRecord
import oxbowlug.record.WritableFormat
import oxbowlug.wire.JobId

/** Told of what the state cache learns, in the order of the events, while it applies them. */
internal interface StateCacheListener {
    /** The leadership record and the membership have been read; the jobs are asked for right after this. */
    fun onMembershipRead()

    /** A leadership record of a newer epoch; the leader in it may be the same. */
    fun onLeaderChanged(leadership: LeadershipRecord)

    /** [value] is the record as it is stored, also of a job whose record the cache doesn't keep. */
    fun onJob(
        id: JobId,
        job: CachedJob,
        value: Map<String, Any?>,
    )

    /** One of the predecessors of [id] is done or cancelled, directly or through others. */
    fun onDependencyChanged(id: JobId)

    /** The format marker has changed. */
    fun onWritableFormat(format: WritableFormat)
}
