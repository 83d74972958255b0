package oxbowlug.standin

import java.util.PriorityQueue
import kotlin.random.Random

/** Virtual time: events run in the order of their moments, and everything random comes from one seed. */
internal class VirtualTime(seed: Long) {
    private class Event(val atMs: Long, val order: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var order = 0L
    val random = Random(seed)
    var nowMs = 0L
        private set

    /** Called after every event. */
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

    fun chance(share: Double): Boolean = random.nextDouble() < share

    fun between(from: Long, to: Long): Long = random.nextLong(from, to + 1)

    fun between(range: LongRange): Long = between(range.first, range.last)

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

    /** Follows a clock outside: runs what is due by then, and goes on from that moment. */
    fun advanceTo(endMs: Long) {
        runUntil(endMs)
        nowMs = maxOf(nowMs, endMs)
    }
}
