package oxbowlug.scale

import oxbowlug.standin.VirtualTime
import kotlin.math.ceil
import kotlin.math.roundToInt

/** Submits the ordinary jobs at their daily rate, and the jobs of the peak scenario. */
internal class Arrivals(
    private val options: ScaleOptions,
    private val time: VirtualTime,
    private val plan: FleetPlan,
    private val fleet: HollowFleet,
    private val users: Users,
) {
    private var isStarted = false

    /** At least one job every two seconds, so that a small fleet also has something to measure. */
    private val jobsPerSecond = maxOf(options.jobsPerDay / SECONDS_PER_DAY, MIN_JOBS_PER_S)
    private var submittedCount = 0

    /** Task starts that the peak has requested so far. */
    var requestedStarts = 0L
        private set

    fun startSubmitting() {
        if (isStarted) return
        isStarted = true
        scheduleNext()
    }

    private fun scheduleNext() {
        val meanMs = MS_PER_S / jobsPerSecond
        time.after(time.between((meanMs / 2).toLong(), (meanMs * 3 / 2).toLong())) {
            submitOne()
            scheduleNext()
        }
    }

    /** Alternates between short arrays and urgent services; a service is cancelled after [URGENT_LIFETIME_MS]. */
    private fun submitOne() {
        if (submittedCount++ % 2 == 0) {
            submit(plan.batchJob(time.between(BATCH_TASKS).toInt(), BATCH_RUN_S))
            return
        }
        val job = plan.urgentJob(time.between(URGENT_TASKS).toInt())
        submit(job) { time.after(URGENT_LIFETIME_MS) { users.cancel(job.spec.id) } }
    }

    fun submit(job: PlannedJob, onAccepted: () -> Unit = {}) {
        fleet.registerJob(job)
        users.submit(job, onAccepted)
    }

    /** Submits arrays of short tasks for [seconds] seconds, at the peak's rate of task starts. */
    fun submitPeak(seconds: Int) {
        val totalStarts = options.peakStartsPerSecond * seconds
        val tasks = minOf(PEAK_JOB_TASKS, ceil(totalStarts / seconds).toInt()).coerceAtLeast(1)
        val jobs = (totalStarts / tasks).roundToInt().coerceAtLeast(1)
        repeat(jobs) { index ->
            requestedStarts += tasks
            time.after((index * seconds * MS_PER_S / jobs).toLong()) { submit(plan.batchJob(tasks, PEAK_RUN_S)) }
        }
    }

    private companion object {
        const val SECONDS_PER_DAY = 86_400.0
        const val MS_PER_S = 1000.0
        const val MIN_JOBS_PER_S = 0.5
        val BATCH_TASKS = 5L..35L
        val URGENT_TASKS = 1L..4L
        const val BATCH_RUN_S = 10.0
        const val URGENT_LIFETIME_MS = 40_000L
        const val PEAK_JOB_TASKS = 100
        const val PEAK_RUN_S = 4.0
    }
}
