package oxbowlug.controller

import org.slf4j.LoggerFactory
import oxbowlug.cache.StateCache
import oxbowlug.election.LeaderElection
import oxbowlug.election.LeadershipRole
import oxbowlug.leader.LeaderTerm
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.record.WritableFormat
import oxbowlug.wire.JobId

/** Holds the term in which this controller leads, if it does; calls [begin] once the state cache has what it needs. */
internal class LeaderTerms(
    private val self: Member,
    private val election: LeaderElection,
    private val cache: StateCache,
    private val begin: (LeadershipRecord) -> LeaderTerm,
) {
    /** The latest term, until this controller is found not to lead; possibly deposed, or of an earlier record. */
    var latest: LeaderTerm? = null
        private set

    /**
     * The term under the current leadership record, or null while this controller may not act as its leader. A term
     * begins once the state cache holds everything that was committed before that record.
     */
    fun current(): LeaderTerm? {
        val leadership = cache.leadership
        if (leadership == null || !mayLeadUnder(leadership)) {
            latest = null
            return null
        }
        val existing = latest
        if (existing != null && existing.leadership.version == leadership.version) {
            return existing.takeUnless { it.isDeposed }
        }
        if (!cache.isSynced || cache.revision < leadership.version) return null
        log.info("leader term started: epoch={} token={}", leadership.epoch, leadership.token.value)
        return begin(leadership).also { latest = it }
    }

    /** Whether this controller, as leader, has proven all attempts of a job terminated; null if it can't tell. */
    fun isTerminationProven(id: JobId): Boolean? =
        when (election.role()) {
            is LeadershipRole.Leader, is LeadershipRole.RenewalOnly -> {
                val job = latest?.cluster?.jobs?.get(id)
                job?.attempts?.isEmpty()
            }
            is LeadershipRole.Follower, LeadershipRole.Unknown -> null
        }

    private fun mayLeadUnder(leadership: LeadershipRecord): Boolean =
        leadership.leader == self &&
            election.role() !is LeadershipRole.Follower &&
            cache.writableFormat != WritableFormat.NONE

    private companion object {
        val log = LoggerFactory.getLogger("controller")
    }
}
