package oxbowlug.soak

import oxbowlug.scale.FleetPlan
import oxbowlug.scale.HollowFleet
import oxbowlug.scale.PlannedJob
import oxbowlug.scale.Users
import oxbowlug.standin.SimWorker
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.JobId

/** The workload: users submit, poll and cancel jobs throughout all faults. Some jobs depend on an earlier one. */
internal class SoakLoad(
    private val time: VirtualTime,
    private val plan: FleetPlan,
    private val fleet: HollowFleet,
    private val users: Users,
    private val largeArrays: Int,
) {
    fun startSubmitting(untilMs: Long) {
        plan.standingJobs().forEach(::submit)
        time.after(LARGE_ARRAYS_AFTER_MS) { submitLargeArrays(untilMs) }
        scheduleNext(untilMs)
    }

    private fun scheduleNext(untilMs: Long) {
        time.after(time.between(SUBMIT_INTERVAL_MS)) {
            if (time.nowMs < untilMs) {
                submitOne()
                scheduleNext(untilMs)
            }
        }
    }

    /** Nothing could run all their tasks, so their users cancel them in the end. */
    private fun submitLargeArrays(untilMs: Long) = repeat(largeArrays) { number ->
        val job = plan.largeArray(number)
        fleet.registerJob(job)
        users.submit(job) { time.after(untilMs - time.nowMs) { users.cancel(job.spec.id) } }
    }

    private fun submitOne() {
        when (time.random.nextInt(JOB_CHOICES)) {
            0 -> submit(plan.urgentJob(time.between(TASKS_PER_JOB).toInt()))
            1 -> submit(plan.batchJob(time.between(TASKS_PER_JOB).toInt(), runS = LONG_RUN_S))
            2 -> submitTwoStages()
            else -> submit(plan.batchJob(time.between(TASKS_PER_JOB).toInt(), runS = SHORT_RUN_S))
        }
    }

    private fun submitTwoStages() {
        val first = plan.batchJob(time.between(TASKS_PER_JOB).toInt(), SHORT_RUN_S)
        val second = plan.batchJob(time.between(TASKS_PER_JOB).toInt(), SHORT_RUN_S)
        val dependent = PlannedJob(second.spec.copy(dependsOn = listOf(first.spec.id)), second.runMs)
        submit(first) { submit(dependent) }
    }

    private fun submit(job: PlannedJob) = submit(job) { }

    private fun submit(job: PlannedJob, onAccepted: () -> Unit) {
        fleet.registerJob(job)
        users.submit(job) {
            onAccepted()
            if (time.chance(CANCEL_PROBABILITY)) time.after(time.between(CANCEL_AFTER_MS)) {
                users.cancel(job.spec.id)
            }
        }
    }

    /** Cancels up to [count] running jobs and returns the machines that run their tasks. */
    fun cancelRunning(count: Int): Set<SimWorker> {
        val cancelledJobs = drawRunningJobs(fleet.cloud.workers, count, time.random)
        for (id in cancelledJobs.keys) time.after(time.between(0, CANCEL_SPREAD_MS)) { users.cancel(JobId(id)) }
        return cancelledJobs.values.flatten().toSet()
    }

    private companion object {
        /** Services, long jobs, jobs in two stages and short jobs, drawn alike. */
        const val JOB_CHOICES = 4
        const val LONG_RUN_S = 12.0
        const val SHORT_RUN_S = 2.0
        const val CANCEL_PROBABILITY = 0.2
        const val CANCEL_SPREAD_MS = 500L
        const val LARGE_ARRAYS_AFTER_MS = 2_000L
        val SUBMIT_INTERVAL_MS = 300L..900L
        val TASKS_PER_JOB = 1L..6L
        val CANCEL_AFTER_MS = 200L..10_000L
    }
}
