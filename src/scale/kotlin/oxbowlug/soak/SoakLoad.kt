package oxbowlug.soak

import oxbowlug.scale.FleetPlan
import oxbowlug.scale.HollowFleet
import oxbowlug.scale.PlannedJob
import oxbowlug.scale.Users
import oxbowlug.standin.SimWorker
import oxbowlug.standin.VirtualTime
import oxbowlug.wire.JobId

/** Users who go on submitting, asking and cancelling through all troubles, some of them work in stages. */
internal class SoakLoad(
    private val time: VirtualTime,
    private val plan: FleetPlan,
    private val fleet: HollowFleet,
    private val users: Users,
) {
    fun begin(untilMs: Long) {
        plan.standingJobs().forEach(::submit)
        next(untilMs)
    }

    private fun next(untilMs: Long) {
        time.after(time.between(JOB_EVERY_MS)) {
            if (time.nowMs < untilMs) {
                submitOne()
                next(untilMs)
            }
        }
    }

    private fun submitOne() {
        when (time.random.nextInt(KINDS)) {
            0 -> submit(plan.urgentJob(time.between(TASKS).toInt()))
            1 -> submit(plan.batchJob(time.between(TASKS).toInt(), runS = LONG_RUN_S))
            2 -> submitStages()
            else -> submit(plan.batchJob(time.between(TASKS).toInt(), runS = SHORT_RUN_S))
        }
    }

    private fun submitStages() {
        val first = plan.batchJob(time.between(TASKS).toInt(), SHORT_RUN_S)
        val second = plan.batchJob(time.between(TASKS).toInt(), SHORT_RUN_S)
        val waiting = PlannedJob(second.spec.copy(dependsOn = listOf(first.spec.id)), second.runMs)
        submit(first) { submit(waiting) }
    }

    private fun submit(job: PlannedJob) = submit(job) { }

    private fun submit(job: PlannedJob, onAccepted: () -> Unit) {
        fleet.expect(job)
        users.submit(job) {
            onAccepted()
            if (time.chance(CANCELLED)) time.after(time.between(CANCEL_AFTER_MS)) { users.cancel(job.spec.id) }
        }
    }

    /** Calls off up to [count] jobs that run, and returns the machines that hold them. */
    fun cancelRunning(count: Int): Set<SimWorker> {
        val calledOff = drawRunningJobs(fleet.cloud.workers, count, time.random)
        for (id in calledOff.keys) time.after(time.between(0, SPREAD_MS)) { users.cancel(JobId(id)) }
        return calledOff.values.flatten().toSet()
    }

    private companion object {
        const val KINDS = 4
        const val LONG_RUN_S = 12.0
        const val SHORT_RUN_S = 2.0
        const val CANCELLED = 0.2
        const val SPREAD_MS = 500L
        val JOB_EVERY_MS = 300L..900L
        val TASKS = 1L..6L
        val CANCEL_AFTER_MS = 200L..10_000L
    }
}
