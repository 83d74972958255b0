package oxbowlug.election

import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member

/** What this controller may do now. */
internal sealed interface LeadershipRole {
    /** Leads, and believes in its own lease: may place, start, stop, rent and return. */
    data class Leader(
        val leadership: LeadershipRecord,
    ) : LeadershipRole

    /**
     * Led when it last heard from the state service, which it no longer reaches. It goes on answering reports, so
     * that running replicas outlive an outage, but starts nothing, and ends this when it learns of a newer epoch.
     */
    data class RenewalOnly(
        val leadership: LeadershipRecord,
    ) : LeadershipRole

    /** Another one leads, as far as known. */
    data class Follower(
        val leader: Member,
    ) : LeadershipRole

    data object Unknown : LeadershipRole
}
