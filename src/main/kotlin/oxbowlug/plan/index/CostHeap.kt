package oxbowlug.plan.index

/**
 * Machines of one zone by what a job's next task costs there, the cheapest first and of equals the one with the lowest
 * index: so the choice is the one that a scan in the order of the machines makes. An indexed binary heap; a change of
 * one cost takes time by the logarithm of the machines, and the cheapest is at hand.
 */
internal class CostHeap(
    private val costs: Costs,
) {
    /** The present costs, by the machines' indexes; they only change between [update] and [clear]. */
    interface Costs {
        fun of(index: Int): Double

        /** Of equals the one with the lower index comes first, as in a scan. */
        fun isCheaper(
            one: Int,
            other: Int,
        ): Boolean {
            val cost = of(one)
            val otherCost = of(other)
            return cost < otherCost || cost == otherCost && one < other
        }
    }

    private var heap = IntArray(INITIAL)

    /** Where each machine stands in the heap, plus one; 0: it isn't there. */
    private var places = IntArray(INITIAL)
    var size = 0
        private set

    /** The machine with the least cost, or -1. */
    val first: Int get() = if (size == 0) -1 else heap[0]

    fun clear() {
        for (place in 0 until size) places[heap[place]] = 0
        size = 0
    }

    /** Adds a machine without keeping the order: [arrange] has to follow. */
    fun append(index: Int) {
        if (index >= places.size) places = places.copyOf(maxOf(index + 1, places.size * 2))
        if (size == heap.size) heap = heap.copyOf(size * 2)
        put(size++, index)
    }

    /** Brings all that were appended into order at once. */
    fun arrange() {
        for (place in size / 2 - 1 downTo 0) sink(place)
    }

    /** Follows a machine's new cost; one that costs infinitely much is taken out. */
    fun update(index: Int) {
        val present = if (index < places.size) places[index] - 1 else -1
        val isWanted = costs.of(index) < Double.POSITIVE_INFINITY
        when {
            present < 0 && !isWanted -> return
            present < 0 -> {
                append(index)
                rise(size - 1)
            }
            isWanted -> {
                rise(present)
                sink(places[index] - 1)
            }
            else -> remove(present)
        }
    }

    private fun remove(place: Int) {
        places[heap[place]] = 0
        size--
        if (place == size) return
        val moved = heap[size]
        put(place, moved)
        rise(place)
        sink(places[moved] - 1)
    }

    private fun put(
        place: Int,
        index: Int,
    ) {
        heap[place] = index
        places[index] = place + 1
    }

    private fun rise(from: Int) {
        val index = heap[from]
        var place = from
        while (place > 0) {
            val parent = (place - 1) / 2
            if (!costs.isCheaper(index, heap[parent])) break
            put(place, heap[parent])
            place = parent
        }
        put(place, index)
    }

    private fun sink(from: Int) {
        val index = heap[from]
        var place = from
        while (true) {
            var child = place * 2 + 1
            if (child >= size) break
            if (child + 1 < size && costs.isCheaper(heap[child + 1], heap[child])) child++
            if (!costs.isCheaper(heap[child], index)) break
            put(place, heap[child])
            place = child
        }
        put(place, index)
    }

    private companion object {
        const val INITIAL = 16
    }
}
