package oxbowlug.core

import org.slf4j.LoggerFactory

/** What must hold whatever fails outside. */
enum class Invariant(val label: String) {
    /** A start that no stored record names is unknown to whoever leads next. */
    STARTS_ARE_STORED("starts.are.stored"),

    /** Whoever renews a worker's lease ends the cancelled work there. */
    CANCELLED_WORK_IS_STOPPED("cancelled.work.is.stopped"),

    /** A task that runs on one machine is not placed on another. */
    ONE_PLACE_A_TASK("one.place.a.task"),
}

/**
 * Asserted while the service runs. A violation is an error line with the basis of the decision, and a count in the
 * metrics; whoever finds it takes the safe side (no start, no renewal without a stop) and goes on.
 */
class Invariants(val basis: DecisionBasis, private val meters: Meters) {
    fun violated(invariant: Invariant, what: String) {
        log.error("invariant {} is violated: {}; {}", invariant.label, what, basis.describe())
        meters.violated(invariant)
    }

    private companion object {
        val log = LoggerFactory.getLogger("invariants")
    }
}
