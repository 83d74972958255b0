package oxbowlug.scheduling

import oxbowlug.cluster.ClusterState
import oxbowlug.cluster.Job
import oxbowlug.cluster.TaskAttempt
import oxbowlug.wire.JobId
import oxbowlug.wire.Zone

/** Where the tasks of each job are, counted once a plan: tenants of one job on many machines all ask for it. */
internal class ZoneTaskCounts(
    private val cluster: ClusterState,
    private val zones: List<Zone>,
) {
    private val known = HashMap<JobId, Map<Zone, Int>>()

    /** A new leader may know from the job records of a machine that sent it no heartbeat and that no list shows yet. */
    fun areAllZonesKnown(job: Job): Boolean = job.attempts.values.all { zoneOf(it) != null }

    /** What is somewhere unknown may be in any zone, so it counts in each: left out, it would break the job's rule. */
    fun of(job: Job): Map<Zone, Int> =
        known.getOrPut(job.id) {
            val use = HashMap<Zone, Int>()
            for (attempt in job.attempts.values) {
                val zone = zoneOf(attempt)
                if (zone != null) use.merge(zone, 1, Int::plus) else zones.forEach { use.merge(it, 1, Int::plus) }
            }
            use
        }

    private fun zoneOf(attempt: TaskAttempt): Zone? = cluster.machines[attempt.machine]?.zone
}
