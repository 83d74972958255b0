package oxbowlug.cluster

import oxbowlug.timing.Timing

/** Errors suspect the machine first; the same job failing on several machines suspects the job. */
internal object FailureBackoff {
    private const val JOBS_TO_SUSPECT_MACHINE = 2
    private const val MACHINES_TO_SUSPECT_JOB = 3
    private const val MAX_DOUBLINGS = 6

    /** A task of [job] failed on [machine]. */
    fun onError(
        machine: Machine,
        job: Job,
        now: Long,
        timing: Timing,
    ) {
        job.failures++
        job.failedOn.add(machine.id)
        job.avoid[machine.id] = now + timing.failedMachineAvoidMs
        machine.failedJobs.add(job.id.value)
        if (machine.failedJobs.size >= JOBS_TO_SUSPECT_MACHINE) machine.isQuarantined = true
        if (job.failedOn.size >= MACHINES_TO_SUSPECT_JOB) {
            val doublings = (job.failedOn.size - MACHINES_TO_SUSPECT_JOB).coerceAtMost(MAX_DOUBLINGS)
            job.backoffUntil = now + minOf(timing.errorBackoffMs shl doublings, timing.errorBackoffMaxMs)
        }
    }

    /** [machine] refused or lost a task of [job] for a reason that isn't the task's own. */
    fun onRefused(
        machine: Machine,
        job: Job,
        now: Long,
        timing: Timing,
    ) {
        job.avoid[machine.id] = now + timing.refusedStartBackoffMs
    }
}
