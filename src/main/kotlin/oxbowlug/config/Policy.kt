package oxbowlug.config

import oxbowlug.region.Regions
import oxbowlug.wire.ClassName

/**
 * The operators' own settings. Each has a default. Most durations are multiples of times that the platform defines, so
 * that one policy suits every deployment.
 */
data class Policy(
    /** The replanning interval in seconds while nothing else triggers a plan; H in the paper. */
    val replanS: Double = 30.0,
    /** The factor by which a postponed job's tardiness weighs more than that of a running job. */
    val postponeFactor: Double = 100.0,
    /** The penalty for idle slots when a machine type is chosen; mu in the paper. */
    val idleSlotPenalty: Double = 1.0,
    /** An idle machine is released after this many boot times of its type. */
    val idleBoots: Double = 2.0,
    /** A machine whose worker sends nothing is released after this many worker lease durations. */
    val silentLeases: Double = 3.0,
    /** A machine that is still booting after this many boot times of its type is released. */
    val bootPatience: Double = 3.0,
    /** The tardiness weights of classes. They override the weights derived from the objectives. */
    val classWeights: Map<ClassName, Double> = emptyMap(),
    /** The zones of each region. By default, each zone is a region of its own. */
    val regions: Regions = Regions(),
)
