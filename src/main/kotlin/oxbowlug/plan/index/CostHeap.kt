package oxbowlug.plan.index

/**
 * Indexed binary heap of a zone's machines, ordered by the cost of placing a job's next task there. Equal costs are
 * ordered by machine index, so that the first machine is the one that a scan in index order would choose. Changing one
 * cost takes logarithmic time, reading the cheapest machine constant time.
 */
internal class CostHeap(
    private val costs: Costs,
) {
    /** Costs by machine index. When the cost of a machine changes, [update] or [clear] has to follow. */
    interface Costs {
        fun costOf(index: Int): Double

        /** Of equal costs the one with the lower index comes first, as in a scan. */
        fun isCheaper(
            one: Int,
            other: Int,
        ): Boolean {
            val cost = costOf(one)
            val otherCost = costOf(other)
            return cost < otherCost || cost == otherCost && one < other
        }
    }

    private var heap = IntArray(INITIAL_CAPACITY)

    /** By machine index, its position in the heap plus one; 0 if it isn't in the heap. */
    private var positions = IntArray(INITIAL_CAPACITY)
    var size = 0
        private set

    /** Index of the machine with the lowest cost, or -1 if the heap is empty. */
    val first: Int get() = if (size == 0) -1 else heap[0]

    fun clear() {
        for (position in 0 until size) positions[heap[position]] = 0
        size = 0
    }

    /** Appends a machine without restoring the heap order: [heapify] has to follow. */
    fun append(index: Int) {
        if (index >= positions.size) positions = positions.copyOf(maxOf(index + 1, positions.size * 2))
        if (size == heap.size) heap = heap.copyOf(size * 2)
        put(size++, index)
    }

    /** Restores the heap order after any number of [append] calls. */
    fun heapify() {
        for (position in size / 2 - 1 downTo 0) siftDown(position)
    }

    /** Adds or reorders a machine whose cost changed, or removes it if its cost is infinite. */
    fun update(index: Int) {
        val current = if (index < positions.size) positions[index] - 1 else -1
        val hasFiniteCost = costs.costOf(index) < Double.POSITIVE_INFINITY
        when {
            current < 0 && !hasFiniteCost -> return
            current < 0 -> {
                append(index)
                siftUp(size - 1)
            }
            hasFiniteCost -> {
                siftUp(current)
                siftDown(positions[index] - 1)
            }
            else -> remove(current)
        }
    }

    private fun remove(position: Int) {
        positions[heap[position]] = 0
        size--
        if (position == size) return
        val moved = heap[size]
        put(position, moved)
        siftUp(position)
        siftDown(positions[moved] - 1)
    }

    private fun put(
        position: Int,
        index: Int,
    ) {
        heap[position] = index
        positions[index] = position + 1
    }

    private fun siftUp(from: Int) {
        val index = heap[from]
        var position = from
        while (position > 0) {
            val parent = (position - 1) / 2
            if (!costs.isCheaper(index, heap[parent])) break
            put(position, heap[parent])
            position = parent
        }
        put(position, index)
    }

    private fun siftDown(from: Int) {
        val index = heap[from]
        var position = from
        while (true) {
            var child = position * 2 + 1
            if (child >= size) break
            if (child + 1 < size && costs.isCheaper(heap[child + 1], heap[child])) child++
            if (!costs.isCheaper(heap[child], index)) break
            put(position, heap[child])
            position = child
        }
        put(position, index)
    }

    private companion object {
        const val INITIAL_CAPACITY = 16
    }
}
