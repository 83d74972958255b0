package oxbowlug.standin

import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/**
 * A network that repeats requests which were executed and answered: each at most once, from a fraction of a second to
 * minutes later, also when their sender has ended. Its random numbers are its own, so that a run without repeats is the
 * same with and without this class.
 */
internal class RequestRepeats(private val time: VirtualTime, seed: Long) {
    private val random = Random(seed xor SEED_OFFSET)

    /** The probability that a request which is executed now is repeated later. */
    var probability = 0.0

    /** Number of repeats that were executed. */
    var executed = 0
        private set

    /** The request [repeat] was executed. */
    fun onExecuted(repeat: () -> Unit) {
        if (probability == 0.0 || random.nextDouble() >= probability) return
        time.after(drawDelayMs()) {
            executed++
            repeat()
        }
    }

    /** Short and long delays are alike frequent: the logarithm of the delay is distributed evenly. */
    private fun drawDelayMs(): Long =
        exp(random.nextDouble(ln(MIN_DELAY_MS), ln(MAX_DELAY_MS))).toLong()

    private companion object {
        const val SEED_OFFSET = 0x5EED_0F_0E9EA7L
        const val MIN_DELAY_MS = 200.0
        const val MAX_DELAY_MS = 120_000.0
    }
}
