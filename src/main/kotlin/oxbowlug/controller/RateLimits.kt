package oxbowlug.controller

import oxbowlug.config.Settings
import oxbowlug.timing.TokenBucket

/**
 * This controller's shares of the rate limits of the state service, in changes per second, and of the cloud, in
 * requests per second.
 *
 * Half of the write rate is for accepting and cancelling jobs. Each controller may use all of that half, since users
 * rarely load all controllers at once; if they do, the state service refuses the surplus, and those writes are tried
 * again.
 */
internal class RateLimits(
    settings: Settings,
) {
    /** For the leader: job records and everything else that only a leader writes. */
    val leaderWrites = TokenBucket(settings.state.writeRps * LEADER_SHARE)

    /** For every controller: jobs that it accepts and cancels for users. */
    val userWrites = TokenBucket(settings.state.writeRps * (1 - LEADER_SHARE))

    val cloudCalls = TokenBucket(settings.cloud.rps * CLOUD_SHARE)

    /** Keeps writes from now on within a state service limit of [writeRps] changes per second. */
    fun lowerWrites(writeRps: Double) {
        leaderWrites.lowerRate(writeRps * LEADER_SHARE)
        userWrites.lowerRate(writeRps * (1 - LEADER_SHARE))
    }

    private companion object {
        const val LEADER_SHARE = 0.5

        /** The rest of the rate is left for the calls of other controllers. */
        const val CLOUD_SHARE = 0.8
    }
}
