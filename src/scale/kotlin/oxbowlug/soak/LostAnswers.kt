package oxbowlug.soak

import oxbowlug.standin.SimWorker
import oxbowlug.standin.VirtualTime

/**
 * A worker that gets no answers to its heartbeats for about a lease, and whose heartbeats are lost afterwards. Direct
 * commands reach it throughout. Its lease expires and its incarnation ends while the leader still receives its
 * heartbeats, and the leader receives none from the next incarnation (docs/incidents/broke-at-size-2.md).
 */
internal class LostAnswers(private val time: VirtualTime, private val leaseMs: Long) {
    fun begin(worker: SimWorker) {
        val leaseEndMs = worker.leaseStartedAt + leaseMs
        worker.answersLostUntil = leaseEndMs
        time.after(leaseEndMs - time.between(0, leaseMs / JITTER_DIVISOR) - time.nowMs) {
            worker.heartbeatsLostUntil = leaseEndMs + leaseMs - time.between(0, leaseMs / JITTER_DIVISOR)
        }
    }

    private companion object {
        /** Both times vary by up to a fifth of a lease, which is one heartbeat or a few. */
        const val JITTER_DIVISOR = 5
    }
}
