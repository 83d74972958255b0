package oxbowlug.election

import oxbowlug.record.Member
import oxbowlug.record.View

/** What this controller may do now. */
sealed interface Role {
    /** Leads, and believes in its own lease: may place, start, stop, rent and return. */
    data class Leader(val view: View) : Role

    /**
     * Led when it last heard from the state service, which it no longer reaches. It goes on answering reports, so
     * that running replicas outlive an outage, but starts nothing, and ends this when it learns of a newer epoch.
     */
    data class RenewingOnly(val view: View) : Role

    /** Another one leads, as far as known. */
    data class Follower(val leader: Member) : Role

    data object Unknown : Role
}
