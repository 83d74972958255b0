package oxbowlug.scheduling

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Job
import oxbowlug.config.Settings
import oxbowlug.record.JobRecord
import oxbowlug.record.RecordLayout
import oxbowlug.record.TaskRanges
import oxbowlug.record.WritableFormat

/** How many attempts a job's record can still name inside the value limit of the state service. */
internal class RecordCapacity(
    settings: Settings,
    private val cluster: ClusterState,
    private val writableFormat: () -> WritableFormat,
) {
    private val valueLimit = (settings.state.valueKb * 1024).toInt()
    private val dividedRecords = RecordLayout(settings.state.lowest)
    private var machineNameBytes = LONG_MACHINE_NAME

    /** Call it once a snapshot: asked for each job, it would scan all machines each time. */
    fun updateMachineNameBytes() {
        machineNameBytes = longestMachineName()
    }

    /** How many more tasks may be placed so that the record stays inside the value limit, however they end. */
    fun maxAdditionalTasks(job: Job): Int {
        if (writableFormat() == WritableFormat.HEAD_AND_PARTS) return dividedRoom(job)
        val perTask = JobRecord.MAX_PLACEMENT_BYTES + TaskRanges.MAX_RANGE_BYTES
        val room = valueLimit - JobRecord.MAX_SPEC_BYTES - TaskRanges.maxEncodedBytes(job.done)
        val many = (room - cluster.machines.size * JobRecord.MAX_MACHINE_BYTES) / perTask
        val few = room / (perTask + JobRecord.MAX_MACHINE_BYTES)
        return (maxOf(many, few) - job.attempts.size).coerceAtLeast(0)
    }

    private fun dividedRoom(job: Job): Int {
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
        return dividedRecords.maxAdditionalPlacements(occupancy).coerceAtLeast(if (job.attempts.isEmpty()) 1 else 0)
    }

    /** The longest machine name less what all of them share. */
    private fun longestMachineName(): Int {
        val names = cluster.machines.keys.map { it.value }
        val longest = names.maxOfOrNull { it.length } ?: return LONG_MACHINE_NAME
        return longest - if (names.size > 1) RecordLayout.commonPrefix(names).length else 0
    }

    private companion object {
        const val LONG_MACHINE_NAME = 24
    }
}
