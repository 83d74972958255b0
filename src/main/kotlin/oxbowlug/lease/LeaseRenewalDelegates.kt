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
import oxbowlug.region.DelegateSelector
import oxbowlug.region.DelegateSelector.Candidate
import oxbowlug.timing.Timing
import oxbowlug.wire.Change
import oxbowlug.wire.Condition
import oxbowlug.wire.Transaction
import oxbowlug.wire.Zone

/**
 * The leader's side of [LeaseRenewalDelegate]: assigns one controller to each zone as its lease renewal delegate, and
 * tracks the period in which each delegate has provably renewed no lease. The lease of a silent worker is proven to
 * have expired only if such a period covers its whole TTL, because the zone's delegate may otherwise have renewed it.
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
        /** The renewal count in the delegate's last echo, or null before the first echo. */
        var renewals: Long? = null

        /** The delegate renewed no lease from [idleFromMs] to [idleUntilMs], by the leader's steady clock. */
        var idleFromMs = Long.MAX_VALUE
        var idleUntilMs = Long.MIN_VALUE
    }

    private val zoneOf: Map<String, Zone> =
        settings.peers.associate { it.label to it.zone } + (settings.label to settings.zone)
    private val choice = DelegateSelector(settings.policy.regions, zoneOf)
    private val delegateByZone = HashMap<Zone, Delegate>()
    private var isWriting = false
    private var nextWriteAt = 0L

    /** Assigns a delegate to each zone that lacks one, and stores the assignments if the stored ones differ. */
    fun tick(now: Long) {
        if (isWriting || now < nextWriteAt) return
        val members = cache.members()
        for (zone in settings.zones) assign(zone, members)
        val desired = delegateByZone.mapValues { it.value.member }
        val stored = cache.delegates
        if (desired.isEmpty() || stored != null && stored.token == leadership.token && stored.byZone == desired) return
        write(desired, stored)
    }

    /**
     * Assigns a delegate to [zone] unless it has one. A delegate that is no longer a member stays assigned: it may be
     * partitioned and still renewing leases, and only a later incarnation of the same controller proves that it has
     * ended.
     *
     * The assignment takes effect here before it is stored: the delegate may read it from the state service even if the
     * leader gets no answer to its write.
     */
    private fun assign(
        zone: Zone,
        members: List<Member>,
    ) {
        val current = delegateByZone[zone]?.member
        if (current != null && members.none { it.label == current.label && it != current }) return
        val candidates =
            members
                .filter { it != leadership.leader && it != current }
                .map { member -> Candidate(member, member.label, delegateByZone.values.count { it.member == member }) }
        val chosen = choice.choose(zone, candidates) ?: return
        log.info("renewal delegate assigned: peer={} zone={}", chosen.label, zone)
        delegateByZone[zone] = Delegate(chosen)
    }

    private fun write(
        desired: Map<Zone, Member>,
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
        val assignment = Change.Put(Keys.DELEGATES, DelegateAssignments(leadership.token, desired, 0).encode())
        state.commit(Transaction(conditions, listOf(assignment))) {
            isWriting = false
            // The outcome is ignored: the watch updates the cached assignments, and until they match the desired ones
            // the write is repeated at this longer interval.
            nextWriteAt = clock.steadyMs() + timing.retryMs() * 4
        }
    }

    /** Extends or restarts the idle period of the delegate that sent [heartbeat], by the echo in it. */
    fun onHeartbeat(heartbeat: PeerHeartbeat) {
        val echo = heartbeat.echo ?: return
        if (echo.leader != leadership.leader) return
        // The renewal count covers all zones of a delegate: a renewal in one zone restarts its idle period in each.
        for (delegate in delegateByZone.values) if (delegate.member == heartbeat.sender) delegate.onHeartbeat(echo)
    }

    private fun Delegate.onHeartbeat(echo: HeartbeatEcho) {
        if (renewals != echo.renewals) {
            renewals = echo.renewals
            idleFromMs = clock.steadyMs()
        }
        // The delegate received the echoed heartbeat no earlier than the leader sent it, and renews no lease until it
        // has been isolated for a while after that.
        idleUntilMs = maxOf(idleUntilMs, echo.sendTimeMs + timing.delegateIdleMs)
    }

    /**
     * Whether a lease that this leader last renewed at [renewedAt] has provably expired, taking into account that the
     * delegate of [zone] may have renewed it later.
     */
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
