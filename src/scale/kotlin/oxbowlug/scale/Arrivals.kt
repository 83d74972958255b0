package oxbowlug.scale

import oxbowlug.standin.VirtualTime
import kotlin.math.ceil
import kotlin.math.roundToInt

/** Submits the jobs of a day at its rate, and those of the peak. */
internal class Arrivals(
    private val options: ScaleOptions,
    private val time: VirtualTime,
    private val plan: FleetPlan,
    private val fleet: HollowFleet,
    private val users: Users,
) {
    private var isOn = false

    /** A small fleet gets one job every other second at least, or nothing would be measured. */
    private val jobsPerSecond = maxOf(options.jobsPerDay / DAY_S, LEAST_JOBS_PER_S)
    private var count = 0

    /** Tasks asked for by the peak so far. */
    var askedStarts = 0L
        private set

    fun begin() {
        if (isOn) return
        isOn = true
        next()
    }

    private fun next() {
        val meanMs = MS / jobsPerSecond
        time.after(time.between((meanMs / 2).toLong(), (meanMs * 3 / 2).toLong())) {
            submitOne()
            next()
        }
    }

    /** Urgent replicas and short arrays in turn; the replicas are wanted for a while only. */
    private fun submitOne() {
        if (count++ % 2 == 0) {
            submit(plan.batchJob(time.between(BATCH_TASKS).toInt(), BATCH_RUN_S))
            return
        }
        val job = plan.urgentJob(time.between(URGENT_TASKS).toInt())
        submit(job) { time.after(URGENT_LIFE_MS) { users.cancel(job.spec.id) } }
    }

    fun submit(job: PlannedJob, onAccepted: () -> Unit = {}) {
        fleet.expect(job)
        users.submit(job, onAccepted)
    }

    /** Arrays of short tasks that together ask for the peak's starts in each of [seconds]. */
    fun peak(seconds: Int) {
        val wanted = options.peakStartsPerSecond * seconds
        val tasks = minOf(PEAK_JOB_TASKS, ceil(wanted / seconds).toInt()).coerceAtLeast(1)
        val jobs = (wanted / tasks).roundToInt().coerceAtLeast(1)
        repeat(jobs) { index ->
            askedStarts += tasks
            time.after((index * seconds * MS / jobs).toLong()) { submit(plan.batchJob(tasks, PEAK_RUN_S)) }
        }
    }

    private companion object {
        const val DAY_S = 86_400.0
        const val MS = 1000.0
        const val LEAST_JOBS_PER_S = 0.5
        val BATCH_TASKS = 5L..35L
        val URGENT_TASKS = 1L..4L
        const val BATCH_RUN_S = 10.0
        const val URGENT_LIFE_MS = 40_000L
        const val PEAK_JOB_TASKS = 100
        const val PEAK_RUN_S = 4.0
    }
}
