package oxbowlug.soak

import oxbowlug.standin.SimWorker
import oxbowlug.standin.World

/**
 * A worker that gets no answers to its heartbeats for about a lease, and whose heartbeats are lost afterwards. Direct
 * commands reach it throughout. Its lease expires and its incarnation ends while the leader still receives its
 * heartbeats, and the leader receives none from the next incarnation (docs/incidents/broke-at-size-2.md).
 */
internal class LostAnswers(private val world: World, private val leaseMs: Long) {
    fun begin(worker: SimWorker) {
        val leaseEndMs = worker.leaseFrom + leaseMs
        worker.unansweredUntil = leaseEndMs
        world.after(leaseEndMs - world.between(0, leaseMs / JITTER_DIVISOR) - world.nowMs) {
            worker.muteUntil = leaseEndMs + leaseMs - world.between(0, leaseMs / JITTER_DIVISOR)
        }
    }

    private companion object {
        /** Both times vary by up to a fifth of a lease, which is one heartbeat or a few. */
        const val JITTER_DIVISOR = 5
    }
}
