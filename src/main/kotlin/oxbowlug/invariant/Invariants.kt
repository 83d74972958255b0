package oxbowlug.invariant

import org.slf4j.LoggerFactory
import oxbowlug.port.Invariant
import oxbowlug.port.Meters

/**
 * Reports invariants that are found violated while the service runs: each violation is logged as an error with the
 * decision context and counted in the metrics. The process goes on, and the caller takes the safe choice: it drops the
 * start, or renews no lease without stopping the cancelled work.
 */
internal class Invariants(
    val decisions: DecisionContext,
    private val meters: Meters,
) {
    /** Logs and counts a violation of [invariant]; [evidence] names the attempts and machines involved. */
    fun recordViolation(
        invariant: Invariant,
        evidence: String,
    ) {
        // The soak run finds violations by the beginning of this line, "invariant LABEL".
        log.error("invariant {} is violated: reason={} {}", invariant.label, evidence, decisions.describe())
        meters.recordViolation(invariant)
    }

    private companion object {
        val log = LoggerFactory.getLogger("invariant")
    }
}
