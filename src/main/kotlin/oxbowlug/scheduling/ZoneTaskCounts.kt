package oxbowlug.scheduling

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Job
import oxbowlug.cluster.TaskAttempt
import oxbowlug.wire.JobId
import oxbowlug.wire.Zone

/**
 * The number of placed tasks of each job by zone. Counted once per job and snapshot, because every machine that runs
 * tasks of a job needs the same counts.
 */
internal class ZoneTaskCounts(
    private val cluster: ClusterState,
    private val zones: List<Zone>,
) {
    private val countsByJob = HashMap<JobId, Map<Zone, Int>>()

    /**
     * Whether the zone of every attempt of [job] is known. A new leader may find a machine in a job record before the
     * machine's heartbeat or the cloud's list shows its zone.
     */
    fun areAllZonesKnown(job: Job): Boolean = job.attempts.values.all { zoneOf(it) != null }

    /**
     * The tasks of [job] by zone. An attempt in an unknown zone may be in any of them, so it counts in each: if it were
     * left out, new tasks could violate the zone constraint of the job.
     */
    fun of(job: Job): Map<Zone, Int> =
        countsByJob.getOrPut(job.id) {
            val counts = HashMap<Zone, Int>()
            for (attempt in job.attempts.values) {
                val zone = zoneOf(attempt)
                if (zone != null) counts.merge(zone, 1, Int::plus) else zones.forEach { counts.merge(it, 1, Int::plus) }
            }
            counts
        }

    private fun zoneOf(attempt: TaskAttempt): Zone? = cluster.machines[attempt.machine]?.zone
}
