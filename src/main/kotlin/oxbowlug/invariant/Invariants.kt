package oxbowlug.invariant

import org.slf4j.LoggerFactory
import oxbowlug.port.Invariant
import oxbowlug.port.Meters

/**
 * Reports violated invariants while the service runs: each is an error line with the decision context, and a count in
 * the metrics; whoever finds it chooses the safe side (no start, no renewal without a stop) and goes on.
 */
internal class Invariants(
    val decisions: DecisionContext,
    private val meters: Meters,
) {
    /** Logs and counts it; [what] is the evidence, for the log. */
    fun recordViolation(
        invariant: Invariant,
        what: String,
    ) {
        // The soak run finds violations by the beginning of this line, "invariant LABEL".
        log.error("invariant {} is violated: reason={} {}", invariant.label, what, decisions.describe())
        meters.recordViolation(invariant)
    }

    private companion object {
        val log = LoggerFactory.getLogger("invariant")
    }
}
