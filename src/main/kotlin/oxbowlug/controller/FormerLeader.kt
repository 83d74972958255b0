package oxbowlug.controller

import oxbowlug.cache.StateCache
import oxbowlug.membership.PeerHealth
import oxbowlug.record.Member

/** The leader before the present one, which may not know of its successor. */
internal class FormerLeader(
    private val self: Member,
    private val cache: StateCache,
    private val peerHealth: PeerHealth,
) {
    /**
     * Whether the former leader may still answer workers without knowing of its successor. A former leader with a later
     * incarnation has ended; one whose heartbeats arrive here also learns of its successor from its peers.
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
