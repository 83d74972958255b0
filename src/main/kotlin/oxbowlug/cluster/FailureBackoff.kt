package oxbowlug.cluster

import oxbowlug.timing.Timing

/**
 * Attributes errors of tasks to machines or to jobs. A machine on which several jobs fail is quarantined; a job that
 * fails on several machines is started again only after a delay, which doubles with each further machine up to a limit.
 */
internal object FailureBackoff {
    private const val JOBS_TO_SUSPECT_MACHINE = 2
    private const val MACHINES_TO_SUSPECT_JOB = 3
    private const val MAX_DOUBLINGS = 6

    /** A task of [job] exited with an error on [machine]. */
    fun onError(
        machine: Machine,
        job: Job,
        now: Long,
        timing: Timing,
    ) {
        job.failures++
        // More machines would make no difference, and a job may fail for days.
        if (job.failedOn.size < MACHINES_TO_SUSPECT_JOB + MAX_DOUBLINGS) job.failedOn.add(machine.id)
        job.avoid[machine.id] = now + timing.failedMachineAvoidMs
        machine.failedJobs.add(job.id.value)
        if (machine.failedJobs.size >= JOBS_TO_SUSPECT_MACHINE) machine.isQuarantined = true
        if (job.failedOn.size >= MACHINES_TO_SUSPECT_JOB) {
            val doublings = (job.failedOn.size - MACHINES_TO_SUSPECT_JOB).coerceAtMost(MAX_DOUBLINGS)
            job.backoffUntil = now + minOf(timing.errorBackoffMs shl doublings, timing.errorBackoffMaxMs)
        }
    }

    /** [machine] refused or lost a task of [job], for a reason that isn't an error of the task. */
    fun onRefused(
        machine: Machine,
        job: Job,
        now: Long,
        timing: Timing,
    ) {
        job.avoid[machine.id] = now + timing.refusedStartBackoffMs
    }
}
