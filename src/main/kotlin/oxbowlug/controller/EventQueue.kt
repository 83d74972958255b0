package oxbowlug.controller

import org.agrona.concurrent.ManyToOneConcurrentArrayQueue
import org.slf4j.LoggerFactory

/**
 * The bounded queue of the event loop. Any thread may offer events; only the event loop's thread drains them. [wake] is
 * called after each accepted event.
 */
internal class EventQueue(
    capacity: Int,
    private val wake: () -> Unit,
) {
    private val events = ManyToOneConcurrentArrayQueue<ControllerEvent>(capacity)

    /** The number of queued events. */
    val depth: Int get() = events.size

    /** Returns false if the queue is full; the caller then answers "unavailable". */
    fun offer(event: ControllerEvent): Boolean {
        val isAccepted = events.offer(event)
        if (isAccepted) wake()
        return isAccepted
    }

    /** Passes the events that are in the queue now to [handle]; events offered meanwhile stay for the next call. */
    fun drain(handle: (ControllerEvent) -> Unit) {
        var left = events.size
        while (left-- > 0) {
            val event = events.poll() ?: break
            try {
                handle(event)
            } catch (e: RuntimeException) {
                // One failed event must not end the process and lose all of its state.
                log.error("event failed: event={}", event.javaClass.simpleName, e)
            }
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("controller")
    }
}
