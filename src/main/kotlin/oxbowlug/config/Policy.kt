package oxbowlug.config

import oxbowlug.region.Regions
import oxbowlug.wire.ClassName

/**
 * The operators' own settings. Everything has a default, and durations are ratios to figures of the platform's
 * file, so that the same policy means the same on every deployment.
 */
data class Policy(
    /** H: seconds between plans when nothing happens. */
    val replanS: Double = 30.0,
    /** How much heavier a postponed job's tardiness weighs than a running one's. */
    val postponeFactor: Double = 100.0,
    /** The price of an idle slot in the choice of a machine type (the paper's mu). */
    val idleSlotPenalty: Double = 1.0,
    /** An idle machine is returned after this many of its type's boot times. */
    val idleBoots: Double = 2.0,
    /** A silent machine is returned after this many worker leases. */
    val silentLeases: Double = 3.0,
    /** A machine still booting after this many of its type's boot times is returned. */
    val bootPatience: Double = 3.0,
    /** Tardiness weights of classes, beside those drawn from the objectives. */
    val classWeights: Map<ClassName, Double> = emptyMap(),
    /** Which zones form a region; none: each zone is one. */
    val regions: Regions = Regions(),
)
