package oxbowlug.plan.index

import it.unimi.dsi.fastutil.ints.IntArrayList

/**
 * Which machines a plan has changed so far, in order. Whoever keeps prices reads on from where it last was, instead of
 * looking through all machines for what changed: in a large fleet that was most of a plan's time.
 */
internal class ChangedMachines {
    private val indexes = IntArrayList()
    val size: Int get() = indexes.size

    fun add(index: Int) {
        indexes.add(index)
    }

    fun at(position: Int): Int = indexes.getInt(position)
}
