package oxbowlug.record

import oxbowlug.cluster.Job

/** An upper bound of a record's size as a single value, in the form in which the state service counts it. */
internal object RecordSize {
    fun bound(job: Job): Int {
        val machines =
            job.attempts.values
                .mapTo(HashSet()) { it.machine }
                .size
        return JobRecord.MAX_SPEC_BYTES + TaskRanges.maxEncodedBytes(job.done) +
            machines * JobRecord.MAX_MACHINE_BYTES + job.attempts.size * JobRecord.MAX_PLACEMENT_BYTES
    }
}
