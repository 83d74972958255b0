package oxbowlug.cancellation

import oxbowlug.cache.StateCache
import oxbowlug.config.Settings
import oxbowlug.port.Clock
import oxbowlug.port.PeerHeartbeat
import oxbowlug.record.Member
import oxbowlug.timing.Timing

/**
 * Up to when this controller surely knows every cancellation that was confirmed anywhere. One that keeps leases alive
 * without the state service must, or cancelled work would run on at its hands.
 *
 * What was confirmed is told here before its user hears of it, so a controller's word covers all that it confirmed
 * before. One that is silent may have confirmed something and ended: then this one may renew only as long as the leases
 * are over in time. The others beyond a cut between zones are trusted to act themselves ([CancellationEnforcer]), since
 * somebody there is alive; ending all work of a zone that is cut off for it would cost much and cure nothing.
 */
internal class CancellationFreshness(
    private val self: Member,
    private val settings: Settings,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
) {
    private class PeerConfirmations(
        val life: Member,
    ) {
        /** All that it confirmed up to then is known here. */
        var knownUpToMs = Long.MIN_VALUE / 2
        var lastContactAt = 0L
        var senderMs = Long.MIN_VALUE
        var mayConfirm = true
    }

    private val confirmationsByPeer = HashMap<String, PeerConfirmations>()

    /** Ended after a silence in which they may have confirmed something; the latest moment of doubt by label. */
    private val doubts = HashMap<String, Long>()

    fun onHeartbeat(heartbeat: PeerHeartbeat) {
        val now = clock.steadyMs()
        val label = heartbeat.sender.label
        val present = confirmationsByPeer[label]
        if (present != null && present.life == heartbeat.sender && heartbeat.atMs < present.senderMs) return
        val confirmations =
            if (present?.life ==
                heartbeat.sender
            ) {
                present
            } else {
                PeerConfirmations(heartbeat.sender).also { confirmationsByPeer[label] = it }
            }
        if (present != null && confirmations !== present) ended(label, present, now)
        confirmations.lastContactAt = now
        confirmations.senderMs = heartbeat.atMs
        confirmations.mayConfirm = heartbeat.mayConfirm
        val echo = heartbeat.echo
        // It wrote this after it had our word of that time, and had confirmed nothing by then that we don't know.
        if (!heartbeat.hasUnacknowledged &&
            echo != null &&
            echo.of == self
        ) {
            confirmations.knownUpToMs = maxOf(confirmations.knownUpToMs, echo.atMs)
        }
    }

    /** Heard until shortly before it was back, it told what it confirmed: its words came over one connection. */
    private fun ended(
        label: String,
        former: PeerConfirmations,
        now: Long,
    ) {
        val wasCutOff = now - former.lastContactAt > timing.workerLeaseRawMs
        if (former.mayConfirm && wasCutOff) doubts[label] = now
    }

    /** Whether leases may be renewed here although the state service is out of reach. */
    fun mayRenewLeases(): Boolean {
        val limit = clock.steadyMs() - timing.blindRenewalMs
        val readUpTo = cache.freshAsOfMs
        if (readUpTo >= limit) return true
        doubts.values.removeIf { it <= readUpTo }
        if (doubts.isNotEmpty()) return false
        val there = cache.members().mapTo(HashSet()) { it.label }
        val expected = settings.peers.filter { it.label in confirmationsByPeer || it.label in there }
        if (expected.isEmpty()) return true
        val (heard, silent) = expected.partition { (confirmationsByPeer[it.label]?.knownUpToMs ?: limit) >= limit }
        if (heard.isEmpty()) return false
        val near = heard.mapTo(hashSetOf(settings.zone)) { it.zone }
        return silent.none { it.zone in near }
    }
}
