package oxbowlug.resource

import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineType
import oxbowlug.wire.ReportSize
import kotlin.math.floor

/**
 * Amounts of each resource: what a task needs, or what a machine has or has free. A machine can hold only as many tasks
 * as its worker can report, so the bytes of a heartbeat are a resource as well: without them, tasks that need next to
 * nothing would fit on a machine in any number.
 */
internal data class Resources(
    val cores: Double,
    val gpus: Double,
    val memoryGb: Double,
    val reportBytes: Double = 0.0,
) {
    operator fun plus(other: Resources) =
        Resources(
            cores + other.cores,
            gpus + other.gpus,
            memoryGb + other.memoryGb,
            reportBytes + other.reportBytes,
        )

    operator fun minus(other: Resources) =
        Resources(
            cores - other.cores,
            gpus - other.gpus,
            memoryGb - other.memoryGb,
            reportBytes - other.reportBytes,
        )

    operator fun times(factor: Double) =
        Resources(cores * factor, gpus * factor, memoryGb * factor, reportBytes * factor)

    /** Whether [available] holds at least as much of each resource, up to [ROUNDING_TOLERANCE]. */
    fun fitsIn(available: Resources): Boolean =
        cores <= available.cores + ROUNDING_TOLERANCE &&
            gpus <= available.gpus + ROUNDING_TOLERANCE &&
            memoryGb <= available.memoryGb + ROUNDING_TOLERANCE &&
            reportBytes <= available.reportBytes + ROUNDING_TOLERANCE

    /**
     * How many tasks that each need this amount a team may run together with [availableCores] and [availableGpus];
     * [Int.MAX_VALUE] if nothing limits them.
     */
    fun timesWithin(
        availableCores: Double,
        availableGpus: Double,
    ): Int {
        val count = minOf(timesIn(cores, availableCores), timesIn(gpus, availableGpus))
        return count.coerceIn(0.0, Int.MAX_VALUE.toDouble()).toInt()
    }

    private fun timesIn(
        amount: Double,
        available: Double,
    ): Double = if (amount > 0.0) floor((available + ROUNDING_TOLERANCE) / amount) else Double.POSITIVE_INFINITY

    companion object {
        /** Sums of decimal amounts have rounding errors; this is far below any amount that a job requests. */
        private const val ROUNDING_TOLERANCE = 1e-6
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}

internal fun JobSpec.resources() = Resources(cores, gpus, memoryGb, ReportSize.taskBytes(id).toDouble())

internal fun MachineType.resources() = Resources(cores, gpus, memoryGb, ReportSize.MAX_TASK_BYTES.toDouble())

/** Time that a machine of this type takes to fetch the job's image while it fetches nothing else. */
internal fun MachineType.fetchS(spec: JobSpec): Double = if (fetchGbPerS > 0.0) spec.imageGb / fetchGbPerS else 0.0

/** The largest share that [need] takes of any of the machine's resources (as in dominant resource fairness). */
internal fun MachineType.dominantShare(need: Resources): Double {
    var dominantShare = if (cores > 0.0) need.cores / cores else 0.0
    if (gpus > 0.0) dominantShare = maxOf(dominantShare, need.gpus / gpus)
    if (memoryGb > 0.0) dominantShare = maxOf(dominantShare, need.memoryGb / memoryGb)
    return dominantShare
}
