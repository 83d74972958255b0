package oxbowlug.election

import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member

/** What this controller may do now. */
internal sealed interface LeadershipRole {
    /** Leads and holds a valid lease: may place, start and stop attempts, and rent and release machines. */
    data class Leader(
        val leadership: LeadershipRecord,
    ) : LeadershipRole

    /**
     * Led when it last heard from the state service, which it no longer reaches. It goes on answering heartbeats, so
     * that running replicas outlive an outage, but starts nothing, and ends this when it learns of a newer epoch.
     */
    data class RenewalOnly(
        val leadership: LeadershipRecord,
    ) : LeadershipRole

    /** Another controller leads, as far as known. */
    data class Follower(
        val leader: Member,
    ) : LeadershipRole

    /** No leadership record was read, or a newer epoch was observed whose leader isn't known. */
    data object Unknown : LeadershipRole
}
