package oxbowlug.plan.index

import it.unimi.dsi.fastutil.ints.IntArrayList

/**
 * Log of the machines that a plan has changed so far, in order. A holder of cached costs reads the entries since its
 * last position. Scanning all machines for changes took most of a plan's time in a large fleet.
 */
internal class ChangedMachines {
    private val indexes = IntArrayList()
    val size: Int get() = indexes.size

    fun add(index: Int) {
        indexes.add(index)
    }

    fun at(position: Int): Int = indexes.getInt(position)
}
