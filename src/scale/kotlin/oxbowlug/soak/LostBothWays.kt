package oxbowlug.soak

import oxbowlug.standin.SimWorker
import oxbowlug.standin.World

/**
 * A link that loses what a worker is sent, for about a lease, and then what it sends. Its session ends while its
 * leader goes on hearing it, and the next one begins unheard (docs/incidents/broke-at-size-2.md).
 */
class LostBothWays(private val world: World, private val leaseMs: Long) {
    fun begin(worker: SimWorker) {
        val overAt = worker.leaseFrom + leaseMs
        val deafUntil = overAt + world.between(0, leaseMs / PART)
        worker.deafUntil = deafUntil
        world.after(overAt - world.between(0, leaseMs / PART) - world.nowMs) {
            worker.muteUntil = overAt + leaseMs - world.between(0, leaseMs / PART)
        }
    }

    private companion object {
        /** The moments differ by up to this part of a lease: a report, or a few. */
        const val PART = 5
    }
}
