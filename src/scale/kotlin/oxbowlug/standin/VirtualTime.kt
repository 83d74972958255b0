package oxbowlug.standin

import java.util.PriorityQueue
import kotlin.random.Random

/**
 * A discrete-event simulator: a virtual clock, a queue of events and one source of random numbers, which depends on the
 * seed alone. Events run in the order of their times, events of the same time in the order in which they were added.
 */
internal class VirtualTime(seed: Long) {
    private class Event(val atMs: Long, val order: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var order = 0L
    val random = Random(seed)
    var nowMs = 0L
        private set

    /** Runs after every event. */
    var afterEvent: () -> Unit = {}

    fun after(delayMs: Long, action: () -> Unit) {
        events.add(Event(nowMs + delayMs.coerceAtLeast(0), order++, action))
    }

    fun every(periodMs: Long, action: () -> Unit) {
        after(periodMs) {
            action()
            every(periodMs, action)
        }
    }

    /** True with the given probability. */
    fun chance(probability: Double): Boolean = random.nextDouble() < probability

    /** A random integer, both bounds included. */
    fun between(from: Long, to: Long): Long = random.nextLong(from, to + 1)

    fun between(range: LongRange): Long = between(range.first, range.last)

    /** Runs all events up to [endMs]. The clock stays at the time of the last event that ran. */
    fun runUntil(endMs: Long) {
        while (true) {
            val next = events.peek() ?: return
            if (next.atMs > endMs) return
            events.poll()
            nowMs = next.atMs
            next.action()
            afterEvent()
        }
    }

    /** Runs all events up to [endMs] and sets the clock to it, so that virtual time can follow the wall clock. */
    fun advanceTo(endMs: Long) {
        runUntil(endMs)
        nowMs = maxOf(nowMs, endMs)
    }
}
