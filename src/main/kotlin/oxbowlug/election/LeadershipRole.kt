package oxbowlug.election

import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member

/** This controller's role, which determines what it may do. */
internal sealed interface LeadershipRole {
    /** Leads with a valid lease: it may place, start and stop attempts, and rent and release machines. */
    data class Leader(
        val leadership: LeadershipRecord,
    ) : LeadershipRole

    /**
     * The newest leadership record read names this controller, but its own lease is no longer valid, usually because it
     * can't reach the state service. It keeps renewing workers' leases, so that running replicas survive an outage of
     * the state service, but starts nothing. The role ends when this controller learns of a newer epoch.
     */
    data class RenewalOnly(
        val leadership: LeadershipRecord,
    ) : LeadershipRole

    /** Another controller leads, according to the newest leadership record or epoch observed. */
    data class Follower(
        val leader: Member,
    ) : LeadershipRole

    /** The leader is unknown: no leadership record was read, or a newer epoch was observed without its leader. */
    data object Unknown : LeadershipRole
}
