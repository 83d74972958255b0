package oxbowlug.lease

import oxbowlug.cache.StateCache
import oxbowlug.port.Clock
import oxbowlug.port.HeartbeatEcho
import oxbowlug.port.PeerHeartbeat
import oxbowlug.record.Member
import oxbowlug.region.Regions
import oxbowlug.timing.Timing
import oxbowlug.wire.FencingToken
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.Zone

/**
 * What a controller that is assigned as delegate may do while its zone is cut off: renew the leases of the zone's
 * workers with the leader's token, and nothing else. It begins only after it has heard neither the leader nor the state
 * service for [Timing.delegateActivationMs], and ends this as soon as it hears one of them or learns of a newer epoch.
 * Without it all work of a zone that is cut off for longer than a worker's lease would end, though controllers stand
 * beside it.
 */
internal class LeaseRenewalDelegate(
    private val self: Member,
    private val zone: Zone,
    private val regions: Regions,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
) {
    private class LeaderContact(
        val leader: Member,
        val leaderClockMs: Long,
        val receivedAtMs: Long,
    )

    private var lastLeaderContact: LeaderContact? = null

    /** Counted for this incarnation: an unchanged count shows the leader that nothing was renewed in between. */
    private var renewals = 0L

    /** Any peer's heartbeat; only the leader's counts. */
    fun onHeartbeat(heartbeat: PeerHeartbeat) {
        val latest = lastLeaderContact
        // Held packets come in order, but over several connections: an older heartbeat must not look like a new one.
        if (latest != null && latest.leader == heartbeat.sender && heartbeat.sendTimeMs < latest.leaderClockMs) return
        // One that was started in an outage has no leadership record yet, but its echo is needed as much
        // ([CancellationFreshness]).
        val leader = cache.leadership?.leader ?: heartbeat.leader
        if (heartbeat.sender == leader) {
            lastLeaderContact = LeaderContact(heartbeat.sender, heartbeat.sendTimeMs, clock.steadyMs())
        }
    }

    /** Sent to the leader: its newest heartbeat that arrived here, and the number of renewals so far. */
    fun echo(): HeartbeatEcho? = lastLeaderContact?.let { HeartbeatEcho(it.leader, it.leaderClockMs, renewals) }

    /** Milliseconds since the leader or the state service was reached last. */
    private fun isolatedMs(): Long {
        val leader = cache.leadership?.leader
        val lastContactAt = lastLeaderContact?.takeIf { it.leader == leader }?.receivedAtMs ?: cache.lastContactMs
        return clock.steadyMs() - maxOf(lastContactAt, cache.lastContactMs)
    }

    /**
     * Who answers the workers of this zone, or of another one of its region, instead of the leader, once it is certain
     * that the zone is cut off; null while the leader answers.
     */
    fun delegateFor(heartbeat: WorkerHeartbeat): Member? {
        val leadership = cache.leadership ?: return null
        val delegates = cache.delegates ?: return null
        val isNear = regions.areTogether(heartbeat.zone, zone)
        val isInScope = delegates.token == leadership.token && isNear && heartbeat.token <= leadership.token
        return if (isInScope && isolatedMs() >= timing.delegateActivationMs) delegates.byZone[heartbeat.zone] else null
    }

    /** Neither the leader nor the state service was reached for a while: the zone may soon count as cut off. */
    fun isNearingActivation(): Boolean {
        val delegates = cache.delegates
        val isSoon = isolatedMs() in timing.delegateActivationMs / 2 until timing.delegateActivationMs
        return delegates != null && isSoon && delegates.byZone.keys.any { regions.areTogether(it, zone) }
    }

    /** The token with which this worker's lease is renewed, or null if this controller is not the delegate for it. */
    fun renew(heartbeat: WorkerHeartbeat): FencingToken? {
        if (delegateFor(heartbeat) != self) return null
        renewals++
        return cache.leadership?.token
    }
}
