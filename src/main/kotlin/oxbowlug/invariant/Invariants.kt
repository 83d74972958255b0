package oxbowlug.invariant

import org.slf4j.LoggerFactory
import oxbowlug.port.Invariant
import oxbowlug.port.Meters

/**
 * Asserted while the service runs. A violation is an error line with the basis of the decision, and a count in the
 * metrics; whoever finds it takes the safe side (no start, no renewal without a stop) and goes on.
 */
internal class Invariants(
    val decisions: DecisionContext,
    private val meters: Meters,
) {
    fun violated(
        invariant: Invariant,
        what: String,
    ) {
        log.error("invariant {} is violated: reason={} {}", invariant.label, what, decisions.describe())
        meters.violated(invariant)
    }

    private companion object {
        val log = LoggerFactory.getLogger("invariants")
    }
}
