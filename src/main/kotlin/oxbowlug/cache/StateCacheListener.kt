package oxbowlug.cache

import oxbowlug.record.LeadershipRecord
import oxbowlug.record.WritableFormat
import oxbowlug.wire.JobId

internal interface StateCacheListener {
    /** The view and the members have been read whole; the jobs are asked for right after this. */
    fun onMembershipRead()

    fun onLeaderChanged(leadership: LeadershipRecord)

    /** [value] is the record as it is stored, also of a job whose record the copy doesn't keep. */
    fun onJob(
        id: JobId,
        job: CachedJob,
        value: Map<String, Any?>,
    )

    /** One of the jobs that it needs is done or cancelled, by whatever road that is known. */
    fun onDependencyChanged(id: JobId)

    fun onWritableFormat(format: WritableFormat)
}
