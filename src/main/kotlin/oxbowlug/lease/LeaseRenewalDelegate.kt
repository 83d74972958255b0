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
 * The delegate's side of lease renewal in a partitioned zone: a controller that the leader assigned as delegate renews
 * the leases of the zone's workers under the leader's token, and does nothing else. Without a delegate, all tasks of a
 * zone that is partitioned for longer than the TTL of a worker's lease would end, even with a controller in the zone.
 *
 * The delegate starts renewing after it has reached neither the leader nor the state service for
 * [Timing.delegateActivationMs], and stops as soon as it reaches one of them or learns of a newer epoch.
 */
internal class LeaseRenewalDelegate(
    private val self: Member,
    private val zone: Zone,
    private val regions: Regions,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
) {
    /** A heartbeat of [leader], sent at [leaderClockMs] by its clock and received at [receivedAtMs] by this one's. */
    private class LeaderContact(
        val leader: Member,
        val leaderClockMs: Long,
        val receivedAtMs: Long,
    )

    private var lastLeaderContact: LeaderContact? = null

    /**
     * Leases renewed in this incarnation, as a delegate. Two echoes with the same count prove to the leader that no
     * lease was renewed between them.
     */
    private var renewals = 0L

    /** Records the contact if the leader sent [heartbeat]; heartbeats of other controllers are ignored. */
    fun onHeartbeat(heartbeat: PeerHeartbeat) {
        val last = lastLeaderContact
        // Delayed packets keep their order within a connection only: a heartbeat that arrives late on another
        // connection must not count as a new one.
        if (last != null && last.leader == heartbeat.sender && heartbeat.sendTimeMs < last.leaderClockMs) return
        // A controller that was started during an outage of the state service has no leadership record yet, but
        // CancellationFreshness on the leader depends on its echo as well.
        val leader = cache.leadership?.leader ?: heartbeat.leader
        if (heartbeat.sender == leader) {
            lastLeaderContact = LeaderContact(heartbeat.sender, heartbeat.sendTimeMs, clock.steadyMs())
        }
    }

    /** Echoes the leader's newest heartbeat received here, with the current renewal count, or null if there is none. */
    fun echo(): HeartbeatEcho? = lastLeaderContact?.let { HeartbeatEcho(it.leader, it.leaderClockMs, renewals) }

    /** Milliseconds since the last contact with the present leader or the state service. */
    private fun isolatedMs(): Long {
        val leader = cache.leadership?.leader
        val lastContactAt = lastLeaderContact?.takeIf { it.leader == leader }?.receivedAtMs ?: cache.lastContactMs
        return clock.steadyMs() - maxOf(lastContactAt, cache.lastContactMs)
    }

    /**
     * The delegate assigned to the zone of the worker that sent [heartbeat], once this controller has been isolated for
     * [Timing.delegateActivationMs]. Null before that, for workers outside this zone's region, and for workers that
     * have seen a newer token than the leader's tokens.
     */
    fun delegateFor(heartbeat: WorkerHeartbeat): Member? {
        val leadership = cache.leadership ?: return null
        val delegates = cache.delegates ?: return null
        val isInRegion = regions.areInSameRegion(heartbeat.zone, zone)
        val isInScope = delegates.token == leadership.token && isInRegion && heartbeat.token <= leadership.tokens.last
        return if (isInScope && isolatedMs() >= timing.delegateActivationMs) delegates.byZone[heartbeat.zone] else null
    }

    /**
     * Whether this controller has been isolated for at least half of [Timing.delegateActivationMs], but not all of it,
     * and a zone of its region has a delegate.
     */
    fun isNearingActivation(): Boolean {
        val delegates = cache.delegates
        val isActivationNear = isolatedMs() in timing.delegateActivationMs / 2 until timing.delegateActivationMs
        return delegates != null && isActivationNear && delegates.byZone.keys.any { regions.areInSameRegion(it, zone) }
    }

    /**
     * Counts a renewal and returns the token under which to renew this worker's lease, or returns null if this
     * controller isn't the active delegate for the worker.
     */
    fun renew(heartbeat: WorkerHeartbeat): FencingToken? {
        if (delegateFor(heartbeat) != self) return null
        renewals++
        return cache.leadership?.tokens?.lowestAcceptedAfter(heartbeat.token)
    }
}
