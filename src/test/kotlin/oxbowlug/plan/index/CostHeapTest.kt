package oxbowlug.plan.index

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

internal class CostHeapTest {
    private class ArrayCosts(
        size: Int,
    ) : CostHeap.Costs {
        val costs = DoubleArray(size) { Double.POSITIVE_INFINITY }

        override fun costOf(index: Int): Double = costs[index]

        fun cheapest(): Int =
            costs.indices
                .filter { costs[it] < Double.POSITIVE_INFINITY }
                .minWithOrNull(compareBy({ costs[it] }, { it })) ?: -1
    }

    @Test
    fun `after any changes the first machine is the one that a scan would choose`() {
        for (seed in 1L..50L) {
            val random = Random(seed)
            val arrayCosts = ArrayCosts(1 + random.nextInt(60))
            val heap = CostHeap(arrayCosts)
            for (index in arrayCosts.costs.indices) {
                if (random.nextBoolean()) {
                    arrayCosts.costs[index] = random.nextInt(6).toDouble()
                    heap.append(index)
                }
            }
            heap.heapify()
            assertEquals(arrayCosts.cheapest(), heap.first, "seed $seed, after heapify")
            repeat(300) { step ->
                val index = random.nextInt(arrayCosts.costs.size)
                val isRemoved = random.nextInt(4) == 0
                // Few distinct values, so that equal costs are frequent.
                arrayCosts.costs[index] = if (isRemoved) Double.POSITIVE_INFINITY else random.nextInt(6).toDouble()
                heap.update(index)
                assertEquals(arrayCosts.cheapest(), heap.first, "seed $seed, step $step")
            }
            heap.clear()
            assertEquals(-1, heap.first)
            heap.update(0)
        }
    }
}
