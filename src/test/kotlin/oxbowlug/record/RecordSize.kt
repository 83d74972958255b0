package oxbowlug.record

import oxbowlug.cluster.Job

/** Upper bound on the size of a job's record as a single value, measured as the state service does. */
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
