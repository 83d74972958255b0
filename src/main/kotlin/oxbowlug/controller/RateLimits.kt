package oxbowlug.controller

import oxbowlug.config.Settings
import oxbowlug.timing.TokenBucket

/**
 * This controller's shares of the published rates: writes in changes per second, cloud calls in requests per second.
 *
 * Half of the write rate is for accepting and cancelling. A controller may use all of that half, since users are rarely
 * everywhere at once; where they are, the state service refuses the surplus and it is tried again.
 */
internal class RateLimits(
    settings: Settings,
) {
    /** Of whoever leads: job records and what else only a leader writes. */
    val leaderWrites = TokenBucket(settings.state.writeRps * LEADER_SHARE)

    /** Of every controller: jobs that it accepts and cancels for users. */
    val userWrites = TokenBucket(settings.state.writeRps * (1 - LEADER_SHARE))

    val cloudCalls = TokenBucket(settings.cloud.rps * CLOUD_SHARE)

    /** From now on the state service takes no more than [writeRps] changes per second. */
    fun lowerWrites(writeRps: Double) {
        leaderWrites.lowerRate(writeRps * LEADER_SHARE)
        userWrites.lowerRate(writeRps * (1 - LEADER_SHARE))
    }

    private companion object {
        const val LEADER_SHARE = 0.5

        /** The rest is left for the calls of other controllers. */
        const val CLOUD_SHARE = 0.8
    }
}
