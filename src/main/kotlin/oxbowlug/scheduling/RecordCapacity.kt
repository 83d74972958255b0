package oxbowlug.scheduling

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Job
import oxbowlug.config.Settings
import oxbowlug.record.JobRecord
import oxbowlug.record.RecordLayout
import oxbowlug.record.TaskRanges
import oxbowlug.record.WritableFormat

/** Limits the attempts of a job so that its record fits the value size that the state service accepts. */
internal class RecordCapacity(
    settings: Settings,
    private val cluster: ClusterState,
    private val writableFormat: () -> WritableFormat,
) {
    private val valueLimitBytes = (settings.state.valueKb * 1024).toInt()
    private val recordLayout = RecordLayout(settings.state.lowest)
    private var machineNameBytes = DEFAULT_MACHINE_NAME_BYTES

    /** Has to be called once per snapshot. Measured for each job, the names would cost a scan of all machines each. */
    fun updateMachineNameBytes() {
        machineNameBytes = longestNameWithoutPrefix()
    }

    /** How many more tasks of [job] may be placed so that its record fits the limit in whatever order they end. */
    fun maxAdditionalTasks(job: Job): Int {
        if (writableFormat() == WritableFormat.HEAD_AND_PARTS) return maxAdditionalTasksInParts(job)
        val taskBytes = JobRecord.MAX_PLACEMENT_BYTES + TaskRanges.MAX_RANGE_BYTES
        val availableBytes = valueLimitBytes - JobRecord.MAX_SPEC_BYTES - TaskRanges.maxEncodedBytes(job.done)
        // A record names no more machines than the cluster has, and no more than it has tasks. Either bound is safe.
        val boundByMachines = (availableBytes - cluster.machines.size * JobRecord.MAX_MACHINE_BYTES) / taskBytes
        val boundByTasks = availableBytes / (taskBytes + JobRecord.MAX_MACHINE_BYTES)
        return (maxOf(boundByMachines, boundByTasks) - job.attempts.size).coerceAtLeast(0)
    }

    /** As [maxAdditionalTasks], for a record that may be split into a head and parts. */
    private fun maxAdditionalTasksInParts(job: Job): Int {
        val occupancy =
            RecordLayout.RecordUsage(
                tasks = job.spec.tasks,
                nextAttempt = job.nextAttempt,
                doneRanges = TaskRanges.rangeCount(job.done),
                placed = job.attempts.size,
                machines =
                    job.attempts.values
                        .mapTo(HashSet()) { it.machine }
                        .size,
                nameBytes = machineNameBytes,
            )
        // One task at a time is always allowed, or a job with many ranges of done tasks could never finish.
        return recordLayout.maxAdditionalPlacements(occupancy).coerceAtLeast(if (job.attempts.isEmpty()) 1 else 0)
    }

    /** The length of the longest machine name without the prefix that all names share. */
    private fun longestNameWithoutPrefix(): Int {
        val names = cluster.machines.keys.map { it.value }
        val longest = names.maxOfOrNull { it.length } ?: return DEFAULT_MACHINE_NAME_BYTES
        return longest - if (names.size > 1) RecordLayout.commonPrefix(names).length else 0
    }

    private companion object {
        /** Assumed while no machine is known. */
        const val DEFAULT_MACHINE_NAME_BYTES = 24
    }
}
