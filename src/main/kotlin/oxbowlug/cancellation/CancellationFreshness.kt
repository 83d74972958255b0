package oxbowlug.cancellation

import oxbowlug.cache.StateCache
import oxbowlug.config.Settings
import oxbowlug.port.Clock
import oxbowlug.port.PeerHeartbeat
import oxbowlug.record.Member
import oxbowlug.timing.Timing

/**
 * Up to when this controller surely knows every cancellation that was confirmed anywhere. One that keeps leases alive
 * without the state service must, or cancelled work would run on under the leases that it renews.
 *
 * A confirmed cancellation is sent here before its user is answered, so a controller's heartbeat covers all that it
 * confirmed before. One that is silent may have confirmed something and crashed: then this one may renew only as long
 * as the leases expire in time. The others beyond a cut between zones are trusted to act themselves
 * ([CancellationEnforcer]), since somebody there is alive; ending all work of a zone that is cut off for it would cost
 * much and cure nothing.
 */
internal class CancellationFreshness(
    private val self: Member,
    private val settings: Settings,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
) {
    private class PeerConfirmations(
        val incarnation: Member,
    ) {
        /** All that it confirmed up to then is known here. */
        var knownUpToMs = Long.MIN_VALUE / 2
        var lastContactAt = 0L
        var senderMs = Long.MIN_VALUE
        var mayConfirmCancellations = true
    }

    private val confirmationsByPeer = HashMap<String, PeerConfirmations>()

    /**
     * Peers that restarted after a silence in which they may have confirmed something: the time of the restart by
     * label.
     */
    private val uncertainAtByLabel = HashMap<String, Long>()

    /** A peer's heartbeat: what it confirmed until it wrote the heartbeat may now be known here. */
    fun onHeartbeat(heartbeat: PeerHeartbeat) {
        val now = clock.steadyMs()
        val label = heartbeat.sender.label
        val present = confirmationsByPeer[label]
        if (present != null && present.incarnation == heartbeat.sender && heartbeat.sendTimeMs < present.senderMs) return
        val confirmations =
            if (present?.incarnation ==
                heartbeat.sender
            ) {
                present
            } else {
                PeerConfirmations(heartbeat.sender).also { confirmationsByPeer[label] = it }
            }
        if (present != null && confirmations !== present) onRestarted(label, present, now)
        confirmations.lastContactAt = now
        confirmations.senderMs = heartbeat.sendTimeMs
        confirmations.mayConfirmCancellations = heartbeat.mayConfirmCancellations
        val echo = heartbeat.echo
        // It wrote this after it had received our heartbeat of that time, and had confirmed nothing by then that we
        // don't know.
        if (!heartbeat.hasUnacknowledgedCancellations &&
            echo != null &&
            echo.leader == self
        ) {
            confirmations.knownUpToMs = maxOf(confirmations.knownUpToMs, echo.sendTimeMs)
        }
    }

    /**
     * A peer that was heard until shortly before it was back has sent what it confirmed: its messages came over one
     * connection.
     */
    private fun onRestarted(
        label: String,
        former: PeerConfirmations,
        now: Long,
    ) {
        val wasCutOff = now - former.lastContactAt > timing.workerLeaseTtlMs
        if (former.mayConfirmCancellations && wasCutOff) uncertainAtByLabel[label] = now
    }

    /** Whether leases may be renewed here although the state service is out of reach. */
    fun mayRenewLeases(): Boolean {
        val requiredFreshnessMs = clock.steadyMs() - timing.maxRenewalStalenessMs
        val readUpToMs = cache.freshAsOfMs
        if (readUpToMs >= requiredFreshnessMs) return true
        uncertainAtByLabel.values.removeIf { it <= readUpToMs }
        if (uncertainAtByLabel.isNotEmpty()) return false
        val memberLabels = cache.members().mapTo(HashSet()) { it.label }
        val expected = settings.peers.filter { it.label in confirmationsByPeer || it.label in memberLabels }
        if (expected.isEmpty()) return true
        val (fresh, stale) =
            expected.partition {
                (confirmationsByPeer[it.label]?.knownUpToMs ?: requiredFreshnessMs) >= requiredFreshnessMs
            }
        if (fresh.isEmpty()) return false
        val reachableZones = fresh.mapTo(hashSetOf(settings.zone)) { it.zone }
        return stale.none { it.zone in reachableZones }
    }
}
