package oxbowlug.soak

import kotlin.random.Random

/**
 * The troubles of one run, drawn from its seed alone: groups of two or three that begin within moments of one another
 * and overlap, since what single troubles break is found by other tests.
 */
internal class FaultSchedule private constructor(val seed: Long, val faults: List<Fault>) {
    /** When the last one is over. */
    val endMs: Long get() = faults.maxOfOrNull { it.untilMs } ?: 0

    override fun toString(): String = faults.joinToString("\n") { "  $it" }

    companion object {
        private const val GROUP_SPREAD_MS = 2_500L
        private const val CANCEL_LEAD_MS = 1_000L
        private const val LEAST_OVERLAP = 2
        private const val MOST_OVERLAP = 3
        private const val SHORTEST_LEASES = 0.05
        private const val LONGEST_LEASES = 2.5
        private val CANCELLATIONS = listOf(FaultKind.CANCEL_RUNNING, FaultKind.CANCEL_RUNNING_AND_HANG)
        private val TROUBLES = FaultKind.entries - CANCELLATIONS.toSet()

        /** [groups] groups between [fromMs] and [toMs], for a fleet whose workers' leases last [leaseMs]. */
        fun draw(seed: Long, groups: Int, fromMs: Long, toMs: Long, leaseMs: Long): FaultSchedule {
            val random = Random(seed)
            val faults = ArrayList<Fault>()
            repeat(groups) {
                val beganAt = random.nextLong(fromMs, toMs)
                val overlapping = random.nextInt(LEAST_OVERLAP, MOST_OVERLAP + 1)
                repeat(overlapping) {
                    val kind = TROUBLES[random.nextInt(TROUBLES.size)]
                    faults.add(fault(random, kind, beganAt + random.nextLong(GROUP_SPREAD_MS), leaseMs))
                }
                // Users call off jobs just as troubles begin: between a promise and its keeping is where they hurt.
                val calledOff = CANCELLATIONS[random.nextInt(CANCELLATIONS.size)]
                val cancelAt = beganAt - CANCEL_LEAD_MS + random.nextLong(GROUP_SPREAD_MS + CANCEL_LEAD_MS)
                faults.add(fault(random, calledOff, cancelAt, leaseMs))
            }
            return FaultSchedule(seed, faults.sortedBy { it.atMs })
        }

        private fun fault(random: Random, kind: FaultKind, atMs: Long, leaseMs: Long): Fault {
            val leases = random.nextDouble(SHORTEST_LEASES, LONGEST_LEASES)
            return Fault(kind, atMs, (leases * leaseMs).toLong(), random.nextInt(Short.MAX_VALUE.toInt()))
        }
    }
}
