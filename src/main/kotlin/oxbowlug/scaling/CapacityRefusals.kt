package oxbowlug.scaling

import org.slf4j.LoggerFactory
import oxbowlug.cluster.Machine
import oxbowlug.plan.CapacityRefusal
import oxbowlug.plan.MachineKind
import oxbowlug.timing.Timing
import kotlin.math.pow

/** The machine kinds for which the cloud recently had no capacity. */
internal class CapacityRefusals(
    private val timing: Timing,
) {
    private val refusals = HashMap<MachineKind, RefusalState>()

    private class RefusalState(
        var count: Int,
        var blockedUntil: Long,
        var lastRefusedAt: Long,
    )

    /** All machines of a request were rented. */
    fun onRented(kind: MachineKind) {
        refusals.remove(kind)
    }

    /**
     * The cloud rented fewer machines of [kind] than requested. The backoff doubles with each refusal in a row, at most
     * [MAX_DOUBLINGS] times.
     */
    fun onRefused(
        kind: MachineKind,
        now: Long,
    ) {
        val state = refusals.getOrPut(kind) { RefusalState(0, 0, now) }
        state.count++
        state.lastRefusedAt = now
        state.blockedUntil = now + (timing.refusalBackoffBaseMs shl minOf(state.count - 1, MAX_DOUBLINGS))
        log.info("capacity refused: kind={} retryAfterMs={}", kind, state.blockedUntil - now)
    }

    /**
     * How the planner has to treat each refused kind: it is blocked during its backoff, and its price carries a penalty
     * that grows with each refusal and decays by half in each [Timing.refusalHalfLifeMs].
     */
    fun byKind(now: Long): Map<MachineKind, CapacityRefusal> =
        refusals.mapValues { (_, state) ->
            val halfLives = (now - state.lastRefusedAt).toDouble() / timing.refusalHalfLifeMs
            CapacityRefusal(blocked = now < state.blockedUntil, penalty = state.count * 0.5.pow(halfLives))
        }

    /** Whether the cloud recently refused this machine's kind, so that a replacement is unlikely. */
    fun isScarce(
        machine: Machine,
        now: Long,
    ): Boolean {
        val state = refusals[MachineKind(machine.type ?: return false, machine.zone ?: return false, machine.spot)]
        return state != null && now - state.lastRefusedAt < timing.refusalHalfLifeMs * SCARCE_HALF_LIVES
    }

    private companion object {
        const val MAX_DOUBLINGS = 4
        const val SCARCE_HALF_LIVES = 4
        val log = LoggerFactory.getLogger("scaling")
    }
}
