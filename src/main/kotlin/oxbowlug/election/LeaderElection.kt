package oxbowlug.election

import org.slf4j.LoggerFactory
import oxbowlug.cache.StateCache
import oxbowlug.port.Clock
import oxbowlug.port.CommitOutcome
import oxbowlug.port.StatePort
import oxbowlug.port.TouchOutcome
import oxbowlug.record.DataFormat
import oxbowlug.record.Keys
import oxbowlug.record.LeadershipRecord
import oxbowlug.record.Member
import oxbowlug.record.WritableFormat
import oxbowlug.timing.Timing
import oxbowlug.wire.Change
import oxbowlug.wire.Condition
import oxbowlug.wire.FencingToken
import oxbowlug.wire.Transaction

/**
 * This controller's lease, its member key, and the election. The view is changed by compare-and-set only, and only
 * while the former leader's member key is gone, which the same transaction checks.
 */
internal class LeaderElection(
    private val self: Member,
    private val state: StatePort,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
    private val changesPerTransaction: Int,
) {
    private val memberKey = Keys.member(self)
    private var lease: Long? = null
    private var registered = false
    private var registering = false
    private var renewing = false
    private var electing = false
    private var leaseValidUntilMs = Long.MIN_VALUE / 2
    private var nextRenewalAt = 0L
    private var nextElectionAt = 0L
    private var nextRegistrationAt = 0L
    private var highestEpoch = 0L
    private var reportedLeader: Member? = null

    fun role(): LeadershipRole {
        val leadership =
            cache.leadership ?: return reportedLeader?.let { LeadershipRole.Follower(it) } ?: LeadershipRole.Unknown
        if (highestEpoch > leadership.epoch) {
            val leader = reportedLeader
            return if (leader == null || leader == self) LeadershipRole.Unknown else LeadershipRole.Follower(leader)
        }
        if (leadership.leader != self) return LeadershipRole.Follower(leadership.leader)
        return if (holdsLease()) LeadershipRole.Leader(leadership) else LeadershipRole.RenewalOnly(leadership)
    }

    /** For how long this controller may still believe in its lease; 0: it may not. */
    fun leaseRemainingMs(): Long = if (registered) (leaseValidUntilMs - clock.steadyMs()).coerceAtLeast(0) else 0

    private fun holdsLease(): Boolean = registered && clock.steadyMs() < leaseValidUntilMs

    /** A peer or a worker's token shows that [epoch] was reached; [leader] may be unknown. */
    fun observeEpoch(
        epoch: Long,
        leader: Member?,
    ) {
        val known = maxOf(highestEpoch, cache.leadership?.epoch ?: 0)
        if (epoch < known || (epoch == known && leader == null)) return
        highestEpoch = epoch
        if (leader != null) reportedLeader = leader
    }

    fun tick() {
        val now = clock.steadyMs()
        if (!renewing && now >= nextRenewalAt) renew(now)
        registerOrCampaign(now)
    }

    /** Registers this life, stands for election, or both in one transaction, as soon as what is needed is known. */
    fun registerOrCampaign(now: Long) {
        val held = lease ?: return
        val mayWrite = cache.writableFormat != WritableFormat.NONE
        val mayCampaign = !electing && mayWrite && now >= nextElectionAt && isLeaderMissing()
        when {
            registered -> if (mayCampaign) campaign(now, joining = null)
            // Registered before the view is known, this life would have to stand in a transaction of its own.
            registering || electing || !cache.isMembershipKnown || now < nextRegistrationAt -> Unit
            // After the end of all controllers the workers' leases have little time left: one call less counts.
            mayCampaign && changesPerTransaction > 1 -> campaign(now, joining = held)
            else -> register(held)
        }
    }

    private fun isLeaderMissing(): Boolean {
        if (!cache.isMembershipKnown) return false
        val leader = cache.leadership?.leader ?: return true
        return leader != self && !cache.hasMember(Keys.member(leader))
    }

    private fun renew(now: Long) {
        renewing = true
        val held = lease
        if (held == null) {
            state.grant(timing.leadershipLeaseTtlMs) { granted ->
                renewing = false
                lease = granted
                registered = false
                if (granted != null) {
                    leaseValidUntilMs = now + timing.leadershipLeaseMs
                    nextRenewalAt = now + timing.leadershipRenewMs
                    registerOrCampaign(clock.steadyMs())
                } else {
                    nextRenewalAt = clock.steadyMs() + timing.retryMs()
                }
            }
            return
        }
        state.touch(held) { outcome ->
            renewing = false
            // Given back meanwhile: the answer is of a lease that isn't held any more.
            if (lease != held) return@touch
            when (outcome) {
                TouchOutcome.RENEWED -> {
                    // Counted from when the renewal was sent: the service may have done it at once.
                    leaseValidUntilMs = maxOf(leaseValidUntilMs, now + timing.leadershipLeaseMs)
                    cache.contacted(now)
                    nextRenewalAt = now + timing.leadershipRenewMs
                }
                TouchOutcome.OVER -> {
                    log.info("lease {} is over", held)
                    lease = null
                    registered = false
                    leaseValidUntilMs = Long.MIN_VALUE / 2
                    nextRenewalAt = clock.steadyMs()
                }
                TouchOutcome.FAILED -> nextRenewalAt = clock.steadyMs() + timing.retryMs()
            }
        }
    }

    private fun register(held: Long) {
        registering = true
        state.commit(Transaction(emptyList(), listOf(registration(held)))) { outcome ->
            registering = false
            when (outcome) {
                is CommitOutcome.Applied ->
                    if (lease == held) {
                        registered = true
                        registerOrCampaign(clock.steadyMs())
                    }
                CommitOutcome.LeaseOver -> if (lease == held) lease = null
                // Refused for its size, it says nothing of the lease.
                CommitOutcome.Invalid -> nextRegistrationAt = clock.steadyMs() + timing.leadershipLeaseTtlMs
                is CommitOutcome.Conflict, CommitOutcome.Refused, CommitOutcome.Unanswered -> Unit
            }
        }
    }

    private fun registration(held: Long) =
        Change.Put(memberKey, mapOf("label" to self.label) + DataFormat.encode(DataFormat.NEWEST), held)

    /** [joining] is the lease under which the same transaction registers this life, unless it is registered. */
    private fun campaign(
        now: Long,
        joining: Long?,
    ) {
        val leadership = cache.leadership
        electing = true
        // The jitter lets one candidate win without the others' writes being spent on the same key.
        nextElectionAt = now + timing.retryMs()
        val epoch = maxOf(leadership?.epoch ?: 0L, highestEpoch) + 1
        val next = LeadershipRecord(epoch, FencingToken(epoch), leader = self, version = 0)
        val conditions = ArrayList<Condition>()
        conditions.add(Condition(Keys.LEADERSHIP, leadership?.version ?: 0))
        if (leadership != null) conditions.add(Condition(Keys.member(leadership.leader), 0))
        val changes = ArrayList<Change>()
        if (joining != null) changes.add(registration(joining))
        changes.add(Change.Put(Keys.LEADERSHIP, next.encode()))
        state.commit(Transaction(conditions, changes)) { outcome ->
            electing = false
            if (outcome is CommitOutcome.Applied) {
                if (joining != null && lease == joining) registered = true
                log.info("elected at epoch {}", next.epoch)
                cache.adopt(next.copy(version = outcome.revision))
            } else {
                // Won or lost unseen: the watch tells, and a view that names us is taken up from there.
                nextElectionAt = clock.steadyMs() + timing.retryMs()
                if (outcome == CommitOutcome.LeaseOver && lease == joining) lease = null
                // Whoever lost is a member all the same.
                lease?.let { if (!registered && !registering) register(it) }
            }
        }
    }

    /** Gives leadership up, so that a controller with better connections can take it. */
    fun resign() {
        val held = lease ?: return
        log.info("resigning: lease {} is given back", held)
        lease = null
        registered = false
        leaseValidUntilMs = Long.MIN_VALUE / 2
        val pause = timing.workerLeaseRawMs
        nextRenewalAt = clock.steadyMs() + pause
        nextElectionAt = clock.steadyMs() + pause
        state.release(held)
    }

    private companion object {
        val log = LoggerFactory.getLogger("authority")
    }
}
