package oxbowlug.scheduling

import oxbowlug.config.Objective
import oxbowlug.config.Settings
import oxbowlug.wire.ClassName

/** Tardiness weights: the shorter the wait that the objectives allow a class, the dearer each second of it. */
internal class ClassWeights(
    settings: Settings,
) {
    private val weights = HashMap<ClassName, Double>()

    /** Of work that a guarantee covers, whatever its class. */
    var guarantee = 0.0
        private set

    init {
        for (objective in settings.objectives) {
            when (objective) {
                is Objective.Wait ->
                    weights[objective.className] = maxOf(1.0, settings.policy.replanS / objective.withinS)
                is Objective.Guarantee -> guarantee = maxOf(1.0, settings.policy.replanS / objective.withinS)
                is Objective.Deadline -> Unit
            }
        }
        weights.putAll(settings.policy.classWeights)
    }

    fun of(name: ClassName): Double = weights[name] ?: 1.0
}
