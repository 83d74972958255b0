package oxbowlug.resource

import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineType

/** What a task takes of its machine, or what a machine has left. */
internal data class Resources(
    val cores: Double,
    val gpus: Double,
    val memoryGb: Double,
) {
    operator fun plus(other: Resources) = Resources(cores + other.cores, gpus + other.gpus, memoryGb + other.memoryGb)

    operator fun minus(other: Resources) = Resources(cores - other.cores, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(factor: Double) = Resources(cores * factor, gpus * factor, memoryGb * factor)

    /** Whether [room] has as much of each, but for rounding. */
    fun fitsIn(room: Resources): Boolean =
        cores <= room.cores + SLACK && gpus <= room.gpus + SLACK && memoryGb <= room.memoryGb + SLACK

    companion object {
        /** Sums of decimal amounts miss by rounding; this is far below any amount that is asked for. */
        private const val SLACK = 1e-6
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}

internal fun JobSpec.resources() = Resources(cores, gpus, memoryGb)

internal fun MachineType.resources() = Resources(cores, gpus, memoryGb)

/** How long a machine of this type that does nothing else takes to fetch the job's image. */
internal fun MachineType.fetchS(spec: JobSpec): Double = if (fetchGbPerS > 0.0) spec.imageGb / fetchGbPerS else 0.0

/** The part of a whole machine that [need] takes: its scarcest resource decides. */
internal fun MachineType.share(need: Resources): Double {
    var share = if (cores > 0.0) need.cores / cores else 0.0
    if (gpus > 0.0) share = maxOf(share, need.gpus / gpus)
    if (memoryGb > 0.0) share = maxOf(share, need.memoryGb / memoryGb)
    return share
}
