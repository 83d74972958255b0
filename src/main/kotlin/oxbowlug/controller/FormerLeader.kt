package oxbowlug.controller

import oxbowlug.cache.StateCache
import oxbowlug.membership.PeerHealth
import oxbowlug.record.Member

/** Whoever led before the present leader, and may not know that it was succeeded. */
internal class FormerLeader(
    private val self: Member,
    private val cache: StateCache,
    private val peerHealth: PeerHealth,
) {
    /**
     * Whether it may still answer workers without having heard of its successor. One that has a later incarnation has
     * ended, and one that is alive hears of its successor as well.
     */
    fun mayStillAnswerWorkers(): Boolean {
        val former = cache.formerLeader ?: return false
        val incarnation = peerHealth.incarnationOf(former.label)
        val hasRestarted = incarnation != null && incarnation != former
        val isSucceeded = cache.members().any { it.label == former.label && it != former }
        val hasEnded = former.label == self.label || hasRestarted || isSucceeded
        return !hasEnded && !peerHealth.isAlive(former.label)
    }
}
