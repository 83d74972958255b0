package oxbowlug.record

import oxbowlug.cluster.Job

/** An upper bound of a record's size as a single value, in the form in which the state service counts it. */
internal object RecordSize {
    fun bound(job: Job): Int {
        val machines =
            job.attempts.values
                .mapTo(HashSet()) { it.machine }
                .size
        return JobRecord.SPEC_BOUND + TaskRanges.sizeBound(job.done) +
            machines * JobRecord.MACHINE_BOUND + job.attempts.size * JobRecord.PLACEMENT_BOUND
    }
}
