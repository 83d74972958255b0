package oxbowlug.cancellation

import oxbowlug.cache.StateCache
import oxbowlug.config.Settings
import oxbowlug.port.Clock
import oxbowlug.port.PeerHeartbeat
import oxbowlug.record.Member
import oxbowlug.timing.Timing

/**
 * Tracks until when this controller is sure to know every cancellation that any controller has confirmed to a user. A
 * controller that renews worker leases without the state service depends on it: otherwise cancelled work would keep
 * running under the renewed leases.
 *
 * A controller sends a cancellation to its peers before it confirms it to the user, so a peer's heartbeat covers all
 * cancellations that the peer confirmed earlier. A silent peer may have confirmed a cancellation and crashed; leases
 * may then be renewed only for as long as they expire within the time allowed for a cancellation
 * ([Timing.maxRenewalStalenessMs]). Peers on the other side of a partition between zones are trusted to enforce their
 * cancellations themselves ([CancellationEnforcer]), since some controller there is alive. Ending all work of a
 * partitioned zone because of them would be expensive and solve nothing.
 */
internal class CancellationFreshness(
    private val self: Member,
    private val settings: Settings,
    private val clock: Clock,
    private val timing: Timing,
    private val cache: StateCache,
) {
    /** What is known of the cancellations that one incarnation of a peer has confirmed. */
    private class PeerConfirmations(
        val incarnation: Member,
    ) {
        /** All cancellations that the peer confirmed up to this time are known, by this controller's steady clock. */
        var knownUpToMs = Long.MIN_VALUE / 2
        var lastContactAt = 0L

        /** When the peer sent its newest heartbeat, by the peer's steady clock. */
        var sentAtMs = Long.MIN_VALUE
        var mayConfirmCancellations = true
    }

    private val confirmationsByPeer = HashMap<String, PeerConfirmations>()

    /** By label, when a peer restarted that may have confirmed cancellations while it was silent before the restart. */
    private val uncertainRestartAtByLabel = HashMap<String, Long>()

    /** Updates what is known of the sender's confirmations; an out-of-order heartbeat has no effect. */
    fun onHeartbeat(heartbeat: PeerHeartbeat) {
        val now = clock.steadyMs()
        val label = heartbeat.sender.label
        val previous = confirmationsByPeer[label]
        if (previous != null && previous.incarnation == heartbeat.sender && heartbeat.sendTimeMs < previous.sentAtMs) return
        val confirmations =
            if (previous?.incarnation ==
                heartbeat.sender
            ) {
                previous
            } else {
                PeerConfirmations(heartbeat.sender).also { confirmationsByPeer[label] = it }
            }
        if (previous != null && confirmations !== previous) onRestarted(label, previous, now)
        confirmations.lastContactAt = now
        confirmations.sentAtMs = heartbeat.sendTimeMs
        confirmations.mayConfirmCancellations = heartbeat.mayConfirmCancellations
        val echo = heartbeat.echo
        // The peer sent this heartbeat after it had received ours of that time, and by then it had confirmed no
        // cancellation that this controller doesn't know.
        if (!heartbeat.hasUnacknowledgedCancellations &&
            echo != null &&
            echo.leader == self
        ) {
            confirmations.knownUpToMs = maxOf(confirmations.knownUpToMs, echo.sendTimeMs)
        }
    }

    /**
     * Records a restart after which cancellations may be unknown. A peer whose messages arrived until shortly before
     * its restart has also delivered its cancellations, because all its messages use one connection.
     */
    private fun onRestarted(
        label: String,
        previousIncarnation: PeerConfirmations,
        now: Long,
    ) {
        val wasCutOff = now - previousIncarnation.lastContactAt > timing.workerLeaseTtlMs
        if (previousIncarnation.mayConfirmCancellations && wasCutOff) uncertainRestartAtByLabel[label] = now
    }

    /** Whether this controller may renew worker leases although it can't reach the state service. */
    fun mayRenewLeases(): Boolean {
        val requiredFreshnessMs = clock.steadyMs() - timing.maxRenewalStalenessMs
        val readUpToMs = cache.freshAsOfMs
        if (readUpToMs >= requiredFreshnessMs) return true
        uncertainRestartAtByLabel.values.removeIf { it <= readUpToMs }
        if (uncertainRestartAtByLabel.isNotEmpty()) return false
        val memberLabels = cache.members().mapTo(HashSet()) { it.label }
        val expected = settings.peers.filter { it.label in confirmationsByPeer || it.label in memberLabels }
        if (expected.isEmpty()) return true
        // A member that has sent no heartbeat to this controller counts as fresh.
        val (fresh, stale) =
            expected.partition {
                (confirmationsByPeer[it.label]?.knownUpToMs ?: requiredFreshnessMs) >= requiredFreshnessMs
            }
        if (fresh.isEmpty()) return false
        // A stale peer in a reachable zone may have crashed; one in another zone is on the far side of a partition.
        val reachableZones = fresh.mapTo(hashSetOf(settings.zone)) { it.zone }
        return stale.none { it.zone in reachableZones }
    }
}
