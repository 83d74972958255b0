package oxbowlug.scaling

import org.slf4j.LoggerFactory
import oxbowlug.cluster.Machine
import oxbowlug.plan.CapacityRefusal
import oxbowlug.plan.MachineKind
import oxbowlug.timing.Timing
import kotlin.math.pow

/** For which kinds of machines the cloud had no capacity of late. */
internal class CapacityRefusals(
    private val timing: Timing,
) {
    private val refusals = HashMap<MachineKind, RefusalState>()

    private class RefusalState(
        var count: Int,
        var until: Long,
        var lastAt: Long,
    )

    /** All machines of a request were rented. */
    fun onRented(kind: MachineKind) {
        refusals.remove(kind)
    }

    fun onRefused(
        kind: MachineKind,
        now: Long,
    ) {
        val state = refusals.getOrPut(kind) { RefusalState(0, 0, now) }
        state.count++
        state.lastAt = now
        state.until = now + (timing.refusalBackoffBaseMs shl minOf(state.count - 1, MAX_DOUBLINGS))
        log.info("capacity refused: kind={} retryAfterMs={}", kind, state.until - now)
    }

    /** A kind that refused of late costs more, less so as time goes by, and isn't asked at all for a while. */
    fun prices(now: Long): Map<MachineKind, CapacityRefusal> =
        refusals.mapValues { (_, state) ->
            val age = (now - state.lastAt).toDouble() / timing.refusalHalfLifeMs
            CapacityRefusal(blocked = now < state.until, penalty = state.count * 0.5.pow(age))
        }

    /** Whether a machine of this kind was refused of late, so that it could hardly be replaced. */
    fun isScarce(
        machine: Machine,
        now: Long,
    ): Boolean {
        val state = refusals[MachineKind(machine.type ?: return false, machine.zone ?: return false, machine.spot)]
        return state != null && now - state.lastAt < timing.refusalHalfLifeMs * SCARCE_HALF_LIVES
    }

    private companion object {
        const val MAX_DOUBLINGS = 4
        const val SCARCE_HALF_LIVES = 4
        val log = LoggerFactory.getLogger("scaling")
    }
}
