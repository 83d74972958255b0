package oxbowlug.lease

import org.slf4j.LoggerFactory
import oxbowlug.cache.StateCache
import oxbowlug.config.Settings
import oxbowlug.port.Clock
import oxbowlug.port.HeartbeatEcho
import oxbowlug.port.PeerHeartbeat
import oxbowlug.port.StatePort
import oxbowlug.record.DelegateAssignments
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.region.DelegateChoice
import oxbowlug.region.DelegateChoice.Candidate
import oxbowlug.timing.Timing
import oxbowlug.wire.Change
import oxbowlug.wire.Condition
import oxbowlug.wire.Transaction
import oxbowlug.wire.Zone

/**
 * The leader's side of [LeaseRenewalDelegate]: assigns one controller to each zone, and knows until when each of them
 * has surely renewed nothing. Only such a span proves that a silent worker's lease has expired, since the delegate may
 * have renewed it.
 */
internal class LeaseRenewalDelegates(
    private val leadership: LeadershipRecord,
    private val settings: Settings,
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
) {
    private class Delegate(
        val member: Member,
    ) {
        var renewals: Long? = null

        /** From [idleFromMs] to [idleUntilMs], by our clock, it has renewed nothing. */
        var idleFromMs = Long.MAX_VALUE
        var idleUntilMs = Long.MIN_VALUE
    }

    private val zoneOf: Map<String, Zone> =
        settings.peers.associate { it.label to it.zone } + (settings.label to settings.zone)
    private val choice = DelegateChoice(settings.policy.regions, zoneOf)
    private val delegateByZone = HashMap<Zone, Delegate>()
    private var isWriting = false
    private var nextWriteAt = 0L

    /** Assigns delegates where they are missing, and stores the assignments when they differ from those stored. */
    fun tick(now: Long) {
        if (isWriting || now < nextWriteAt) return
        val members = cache.members()
        for (zone in settings.zones) assign(zone, members)
        val wanted = delegateByZone.mapValues { it.value.member }
        val stored = cache.delegates
        if (wanted.isEmpty() || stored != null && stored.token == leadership.token && stored.byZone == wanted) return
        write(wanted, stored)
    }

    /**
     * A delegate that is no longer a member stays assigned: cut off, it may be renewing, and only a later incarnation
     * of the same controller shows that it has ended. It may read its assignment even if our write isn't answered, so
     * it counts from here on.
     */
    private fun assign(
        zone: Zone,
        members: List<Member>,
    ) {
        val present = delegateByZone[zone]?.member
        if (present != null && members.none { it.label == present.label && it != present }) return
        val candidates =
            members
                .filter { it != leadership.leader && it != present }
                .map { member -> Candidate(member, member.label, delegateByZone.values.count { it.member == member }) }
        val next = choice.choose(zone, candidates) ?: return
        log.info("renewal delegate assigned: peer={} zone={}", next.label, zone)
        delegateByZone[zone] = Delegate(next)
    }

    private fun write(
        wanted: Map<Zone, Member>,
        stored: DelegateAssignments?,
    ) {
        isWriting = true
        val conditions =
            listOf(
                Condition(Keys.LEADERSHIP, leadership.version),
                Condition(
                    Keys.DELEGATES,
                    stored?.version ?: 0,
                ),
            )
        val assignment = Change.Put(Keys.DELEGATES, DelegateAssignments(leadership.token, wanted, 0).encode())
        state.commit(Transaction(conditions, listOf(assignment))) {
            isWriting = false
            // The watch brings what is stored; until it does, the write is only tried again slowly.
            nextWriteAt = clock.steadyMs() + timing.retryMs() * 4
        }
    }

    /** A peer's echo of our heartbeat shows whether it renewed any lease since the one before. */
    fun onHeartbeat(heartbeat: PeerHeartbeat) {
        val echo = heartbeat.echo ?: return
        if (echo.leader != leadership.leader) return
        // Its count is of all zones that it is assigned to: a renewal in one of them invalidates the proof for each.
        for (delegate in delegateByZone.values) if (delegate.member == heartbeat.sender) delegate.onHeartbeat(echo)
    }

    private fun Delegate.onHeartbeat(echo: HeartbeatEcho) {
        if (renewals != echo.renewals) {
            renewals = echo.renewals
            idleFromMs = clock.steadyMs()
        }
        // It received that heartbeat of ours at that time or later, and doesn't begin until long after.
        idleUntilMs = maxOf(idleUntilMs, echo.sendTimeMs + timing.delegateIdleMs)
    }

    /** Whether a lease that we last renewed at [renewedAt] has expired, whatever the zone's delegate did. */
    fun isProvenExpired(
        zone: Zone?,
        renewedAt: Long,
    ): Boolean {
        val delegate = delegateByZone[zone] ?: return true
        if (delegate.idleFromMs == Long.MAX_VALUE) return false
        val expiresAt = maxOf(renewedAt, delegate.idleFromMs) + timing.workerLeaseExpiryMs
        return delegate.idleUntilMs >= expiresAt && clock.steadyMs() >= expiresAt
    }

    private companion object {
        val log = LoggerFactory.getLogger("lease")
    }
}
