package oxbowlug.plan.index

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

internal class CostHeapTest {
    private class Prices(
        size: Int,
    ) : CostHeap.Costs {
        val costs = DoubleArray(size) { Double.POSITIVE_INFINITY }

        override fun of(index: Int): Double = costs[index]

        fun cheapest(): Int =
            costs.indices
                .filter { costs[it] < Double.POSITIVE_INFINITY }
                .minWithOrNull(compareBy({ costs[it] }, { it })) ?: -1
    }

    @Test
    fun `after any changes the first is the one that a scan would choose`() {
        for (seed in 1L..50L) {
            val random = Random(seed)
            val prices = Prices(1 + random.nextInt(60))
            val heap = CostHeap(prices)
            for (index in prices.costs.indices) {
                if (random.nextBoolean()) {
                    prices.costs[index] = random.nextInt(6).toDouble()
                    heap.append(index)
                }
            }
            heap.arrange()
            assertEquals(prices.cheapest(), heap.first, "seed $seed, at first")
            repeat(300) { step ->
                val index = random.nextInt(prices.costs.size)
                val isRemoved = random.nextInt(4) == 0
                // Few values, so that ties are frequent.
                prices.costs[index] = if (isRemoved) Double.POSITIVE_INFINITY else random.nextInt(6).toDouble()
                heap.update(index)
                assertEquals(prices.cheapest(), heap.first, "seed $seed, step $step")
            }
            heap.clear()
            assertEquals(-1, heap.first)
            heap.update(0)
        }
    }
}
