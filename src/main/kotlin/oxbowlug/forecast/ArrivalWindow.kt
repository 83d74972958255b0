package oxbowlug.forecast

/**
 * The tasks that were submitted and cancelled within the last [windowMs], summed up in a fixed number of time slots:
 * its size doesn't depend on how many jobs there were. A slot's length is how much later than [windowMs] a change may
 * leave the window.
 */
internal class ArrivalWindow(
    private val windowMs: Long,
) {
    /** The sums over the changes that are in the window. */
    class Sums(
        /** Submitted tasks less cancelled ones. */
        val netTasks: Long,
        /** The sum of each change's number of tasks, squared. */
        val squaredTasks: Double,
        val hasSubmissions: Boolean,
    )

    private class Slot {
        var number = Long.MIN_VALUE
        var netTasks = 0L
        var squaredTasks = 0.0
        var hasSubmissions = false

        fun restart(newNumber: Long) {
            number = newNumber
            netTasks = 0L
            squaredTasks = 0.0
            hasSubmissions = false
        }
    }

    private val slotMs = (windowMs / SLOTS).coerceAtLeast(1)
    private val slots = Array((windowMs / slotMs).toInt() + SLOTS_AT_THE_ENDS) { Slot() }

    /** Records a submission or, with negative [tasks], a cancellation at [atMs]. */
    fun add(
        atMs: Long,
        tasks: Int,
    ) {
        val number = Math.floorDiv(atMs, slotMs)
        val slot = slots[Math.floorMod(number, slots.size)]
        // A newer slot is in its place, so the change is older than the window.
        if (slot.number > number) return
        if (slot.number < number) slot.restart(number)
        slot.netTasks += tasks
        slot.squaredTasks += tasks.toDouble() * tasks
        if (tasks > 0) slot.hasSubmissions = true
    }

    fun sums(nowMs: Long): Sums {
        val oldest = Math.floorDiv(nowMs - windowMs, slotMs)
        var netTasks = 0L
        var squaredTasks = 0.0
        var hasSubmissions = false
        for (slot in slots) {
            if (slot.number < oldest) continue
            netTasks += slot.netTasks
            squaredTasks += slot.squaredTasks
            hasSubmissions = hasSubmissions || slot.hasSubmissions
        }
        return Sums(netTasks, squaredTasks, hasSubmissions)
    }

    private companion object {
        const val SLOTS = 90

        /** The window begins and ends within a slot, and times of day of other controllers may be a little ahead. */
        const val SLOTS_AT_THE_ENDS = 3
    }
}
