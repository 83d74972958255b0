package oxbowlug.soak

import oxbowlug.standin.SimWorker
import oxbowlug.standin.VirtualTime

/**
 * A worker that gets no answers to its reports for about a lease, and whose reports are then lost, while direct
 * commands reach it throughout. Its incarnation ends as its leader goes on hearing it, and the next one begins unheard
 * (docs/incidents/broke-at-size-2.md).
 */
internal class LostAnswers(private val time: VirtualTime, private val leaseMs: Long) {
    fun begin(worker: SimWorker) {
        val overAt = worker.leaseStartedAt + leaseMs
        worker.answersLostUntil = overAt
        time.after(overAt - time.between(0, leaseMs / PART) - time.nowMs) {
            worker.heartbeatsLostUntil = overAt + leaseMs - time.between(0, leaseMs / PART)
        }
    }

    private companion object {
        /** The moments differ by up to this part of a lease: a report, or a few. */
        const val PART = 5
    }
}
