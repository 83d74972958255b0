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

/** Holds the term in which this controller leads, if it does, and [begin]s it when all that it needs is known. */
internal class LeaderTerms(
    private val self: Member,
    private val election: LeaderElection,
    private val cache: StateCache,
    private val begin: (LeadershipRecord) -> LeaderTerm,
) {
    /** The term that was begun last, until this controller is found not to lead; it may be deposed or outdated. */
    var latest: LeaderTerm? = null
        private set

    /**
     * The term under the present leadership record, or null while this controller may not act as its leader. It begins
     * once the state cache holds all that was committed before it.
     */
    fun current(): LeaderTerm? {
        val leadership = cache.leadership
        if (leadership == null || !isOurs(leadership)) {
            latest = null
            return null
        }
        val present = latest
        if (present != null && present.leadership.version == leadership.version) {
            return present.takeUnless { it.isDeposed }
        }
        if (!cache.isSynced || cache.revision < leadership.version) return null
        log.info("leading: epoch={} token={}", leadership.epoch, leadership.token.value)
        return begin(leadership).also { latest = it }
    }

    /** Whether all attempts of a job are proven gone by the leader here; null: not its affair, or not known. */
    fun isTerminationProven(id: JobId): Boolean? =
        when (election.role()) {
            is LeadershipRole.Leader, is LeadershipRole.RenewalOnly -> {
                val job = latest?.cluster?.jobs?.get(id)
                job?.attempts?.isEmpty()
            }
            is LeadershipRole.Follower, LeadershipRole.Unknown -> null
        }

    private fun isOurs(leadership: LeadershipRecord): Boolean =
        leadership.leader == self &&
            election.role() !is LeadershipRole.Follower &&
            cache.writableFormat != WritableFormat.NONE

    private companion object {
        val log = LoggerFactory.getLogger("controller")
    }
}
