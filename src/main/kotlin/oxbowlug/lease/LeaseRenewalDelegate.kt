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
 * What a named controller may do while its zone is cut off: renew the leases of the zone's workers with the leader's
 * token, and nothing else. It begins only after it has heard neither the leader nor the state service for
 * [Timing.delegateAfterMs], and ends this as soon as it hears one of them or learns of a newer epoch. Without it all
 * work of a zone that is cut off for longer than a worker's lease would end, though controllers stand beside it.
 */
internal class LeaseRenewalDelegate(
    private val self: Member,
    private val zone: Zone,
    private val regions: Regions,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
) {
    private class Heard(
        val leader: Member,
        val itsMs: Long,
        val atMs: Long,
    )

    private var heard: Heard? = null

    /** Counted for this life: an unchanged count shows the leader that nothing was renewed in between. */
    private var renewals = 0L

    fun onHeartbeat(heartbeat: PeerHeartbeat) {
        val present = heard
        // Held packets come in order, but over several connections: an older word must not look like a new one.
        if (present != null && present.leader == heartbeat.sender && heartbeat.atMs < present.itsMs) return
        // One that was started in an outage knows no view yet, but its word is needed as much
        // ([CancellationFreshness]).
        val leader = cache.leadership?.leader ?: heartbeat.leader
        if (heartbeat.sender == leader) heard = Heard(heartbeat.sender, heartbeat.atMs, clock.steadyMs())
    }

    /** What the leader is told: the last that was heard of it, and how much was renewed so far. */
    fun echo(): HeartbeatEcho? = heard?.let { HeartbeatEcho(it.leader, it.itsMs, renewals) }

    private fun aloneMs(): Long {
        val leader = cache.leadership?.leader
        val lastContactAt = heard?.takeIf { it.leader == leader }?.atMs ?: cache.lastContactMs
        return clock.steadyMs() - maxOf(lastContactAt, cache.lastContactMs)
    }

    /**
     * Who answers the workers of this zone, or of another one of its region, instead of the leader, once it is certain
     * that it is cut off.
     */
    fun named(report: WorkerHeartbeat): Member? {
        val leadership = cache.leadership ?: return null
        val delegates = cache.delegates ?: return null
        val isNear = regions.areTogether(report.zone, zone)
        val isForUs = delegates.token == leadership.token && isNear && report.token <= leadership.token
        return if (isForUs && aloneMs() >= timing.delegateAfterMs) delegates.byZone[report.zone] else null
    }

    /** Neither the leader nor the state service was heard for a while: it may soon be certain. */
    fun isLosingTouch(): Boolean {
        val delegates = cache.delegates
        val isSoon = aloneMs() in timing.delegateAfterMs / 2 until timing.delegateAfterMs
        return delegates != null && isSoon && delegates.byZone.keys.any { regions.areTogether(it, zone) }
    }

    /** The token with which this worker's lease is renewed, or null if that isn't ours to do. */
    fun renew(report: WorkerHeartbeat): FencingToken? {
        if (named(report) != self) return null
        renewals++
        return cache.leadership?.token
    }
}
