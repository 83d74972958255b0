package oxbowlug.soak

import kotlin.random.Random

/**
 * The faults of one run, drawn from its seed alone: groups of two or three faults that begin within
 * [GROUP_SPREAD_MS] of one another and overlap. Other tests cover single faults.
 */
internal class FaultSchedule private constructor(val seed: Long, val faults: List<Fault>) {
    /** When the last fault ends, in milliseconds since the schedule's start. */
    val endMs: Long get() = faults.maxOfOrNull { it.untilMs } ?: 0

    override fun toString(): String = faults.joinToString("\n") { "  $it" }

    companion object {
        private const val GROUP_SPREAD_MS = 2_500L
        private const val CANCEL_LEAD_MS = 1_000L
        private const val MIN_OVERLAP = 2
        private const val MAX_OVERLAP = 3

        /** Faults last this many worker leases. */
        private const val MIN_DURATION_LEASES = 0.05
        private const val MAX_DURATION_LEASES = 2.5
        private const val MIN_REPEATS_LEASES = 1.0
        private const val MAX_REPEATS_LEASES = 4.0
        private val CANCELLATIONS = listOf(FaultKind.CANCEL_RUNNING, FaultKind.CANCEL_RUNNING_AND_HANG)
        private val GROUP_FAULTS = FaultKind.entries - CANCELLATIONS.toSet() - FaultKind.REPEAT_REQUESTS

        /** Repeats are drawn from random numbers of their own, so that each seed keeps its other faults. */
        private const val REPEATS_SEED = 0x5EED_0E9EA7L

        /** Draws [groups] groups that begin between [fromMs] and [toMs]. Workers' leases last [leaseMs]. */
        fun draw(seed: Long, groups: Int, fromMs: Long, toMs: Long, leaseMs: Long): FaultSchedule {
            val random = Random(seed)
            val repeatsRandom = Random(seed xor REPEATS_SEED)
            val faults = ArrayList<Fault>()
            repeat(groups) {
                val groupStartMs = random.nextLong(fromMs, toMs)
                val overlap = random.nextInt(MIN_OVERLAP, MAX_OVERLAP + 1)
                repeat(overlap) {
                    val kind = GROUP_FAULTS[random.nextInt(GROUP_FAULTS.size)]
                    faults.add(drawFault(random, kind, groupStartMs + random.nextLong(GROUP_SPREAD_MS), leaseMs))
                }
                // Users cancel jobs around the start of the faults: a fault between the answer to a cancellation and
                // the stop of its tasks is the most likely one to break the guarantee.
                val cancellation = CANCELLATIONS[random.nextInt(CANCELLATIONS.size)]
                val cancelAt = groupStartMs - CANCEL_LEAD_MS + random.nextLong(GROUP_SPREAD_MS + CANCEL_LEAD_MS)
                faults.add(drawFault(random, cancellation, cancelAt, leaseMs))
                faults.add(drawRepeats(repeatsRandom, groupStartMs, leaseMs))
            }
            return FaultSchedule(seed, faults.sortedBy { it.atMs })
        }

        /** What is repeated was sent before the group's faults or during them, so this begins up to a lease earlier. */
        private fun drawRepeats(random: Random, groupStartMs: Long, leaseMs: Long): Fault {
            val atMs = maxOf(0L, groupStartMs - random.nextLong(leaseMs))
            val leases = random.nextDouble(MIN_REPEATS_LEASES, MAX_REPEATS_LEASES)
            return Fault(FaultKind.REPEAT_REQUESTS, atMs, (leases * leaseMs).toLong(), target = 0)
        }

        private fun drawFault(random: Random, kind: FaultKind, atMs: Long, leaseMs: Long): Fault {
            val leases = random.nextDouble(MIN_DURATION_LEASES, MAX_DURATION_LEASES)
            return Fault(kind, atMs, (leases * leaseMs).toLong(), random.nextInt(Short.MAX_VALUE.toInt()))
        }
    }
}
