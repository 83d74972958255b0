package oxbowlug.controller

import org.agrona.concurrent.ManyToOneConcurrentArrayQueue
import org.slf4j.LoggerFactory

/**
 * The bounded queue of the event loop: any thread may offer, and only the owner of the model drains. [wake] is called
 * after each event that was accepted.
 */
internal class EventQueue(
    capacity: Int,
    private val wake: () -> Unit,
) {
    private val events = ManyToOneConcurrentArrayQueue<ControllerEvent>(capacity)

    /** How many events wait. */
    val depth: Int get() = events.size

    /** False when the queue is full: the caller answers "unavailable" itself. */
    fun offer(event: ControllerEvent): Boolean {
        val isAccepted = events.offer(event)
        if (isAccepted) wake()
        return isAccepted
    }

    /** Hands over what is in the queue now; what is offered meanwhile waits for the next call. */
    fun drain(handle: (ControllerEvent) -> Unit) {
        var left = events.size
        while (left-- > 0) {
            val event = events.poll() ?: break
            try {
                handle(event)
            } catch (e: RuntimeException) {
                // One event's failure must not end the process with all that it holds.
                log.error("event failed: event={}", event.javaClass.simpleName, e)
            }
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("controller")
    }
}
