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
 * The leader's side of [LeaseRenewalDelegate]: names one controller a zone, and knows until when each of them has surely
 * renewed nothing. Only such a span proves that a silent worker's lease is over, since the deputy may have renewed it.
 */
internal class LeaseRenewalDelegates(
    private val leadership: LeadershipRecord,
    private val settings: Settings,
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
) {
    private class Named(
        val member: Member,
    ) {
        var renewals: Long? = null

        /** From [clearFrom] to [clearTo], by our clock, it has renewed nothing. */
        var clearFrom = Long.MAX_VALUE
        var clearTo = Long.MIN_VALUE
    }

    private val zoneOf: Map<String, Zone> =
        settings.peers.associate { it.label to it.zone } + (settings.label to settings.zone)
    private val choice = DelegateChoice(settings.policy.regions, zoneOf)
    private val named = HashMap<Zone, Named>()
    private var writing = false
    private var nextWriteAt = 0L

    fun tick(now: Long) {
        if (writing || now < nextWriteAt) return
        val members = cache.members()
        for (zone in settings.zones) name(zone, members)
        val wanted = named.mapValues { it.value.member }
        val stored = cache.delegates
        if (wanted.isEmpty() || stored != null && stored.token == leadership.token && stored.byZone == wanted) return
        write(wanted, stored)
    }

    /**
     * One that is gone stays named: cut off, it may be renewing, and only a later life of the same controller shows
     * that it has ended. It may hear of its name even if our write isn't answered, so it counts from here on.
     */
    private fun name(
        zone: Zone,
        members: List<Member>,
    ) {
        val present = named[zone]?.member
        if (present != null && members.none { it.label == present.label && it != present }) return
        val candidates =
            members
                .filter { it != leadership.leader && it != present }
                .map { member -> Candidate(member, member.label, named.values.count { it.member == member }) }
        val next = choice.choose(zone, candidates) ?: return
        log.info("{} renews leases for {} if it is cut off", next.label, zone)
        named[zone] = Named(next)
    }

    private fun write(
        wanted: Map<Zone, Member>,
        stored: DelegateAssignments?,
    ) {
        writing = true
        val conditions =
            listOf(
                Condition(Keys.LEADERSHIP, leadership.version),
                Condition(
                    Keys.DELEGATES,
                    stored?.version ?: 0,
                ),
            )
        val put = Change.Put(Keys.DELEGATES, DelegateAssignments(leadership.token, wanted, 0).encode())
        state.commit(Transaction(conditions, listOf(put))) {
            writing = false
            // The watch brings what is stored; until it does, the write is only tried again slowly.
            nextWriteAt = clock.steadyMs() + timing.retryMs() * 4
        }
    }

    fun onHeartbeat(heartbeat: PeerHeartbeat) {
        val echo = heartbeat.echo ?: return
        if (echo.of != leadership.leader) return
        // Its count is of all zones that it is named for: a renewal in one of them takes the proof from each.
        for (one in named.values) if (one.member == heartbeat.sender) one.onHeartbeat(echo)
    }

    private fun Named.onHeartbeat(echo: HeartbeatEcho) {
        if (renewals != echo.renewals) {
            renewals = echo.renewals
            clearFrom = clock.steadyMs()
        }
        // It got that word of ours at that time or later, and doesn't begin until long after.
        clearTo = maxOf(clearTo, echo.atMs + timing.delegateNotStartedMs)
    }

    /** Whether a lease that we last renewed at [answeredAt] is over, whatever the zone's deputy did. */
    fun isSurelyExpired(
        zone: Zone?,
        answeredAt: Long,
    ): Boolean {
        val one = named[zone] ?: return true
        if (one.clearFrom == Long.MAX_VALUE) return false
        val over = maxOf(answeredAt, one.clearFrom) + timing.workerExpiryMs
        return one.clearTo >= over && clock.steadyMs() >= over
    }

    private companion object {
        val log = LoggerFactory.getLogger("delegates")
    }
}
