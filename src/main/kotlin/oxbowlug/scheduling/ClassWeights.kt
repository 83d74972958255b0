package oxbowlug.scheduling

import oxbowlug.config.Objective
import oxbowlug.config.Settings
import oxbowlug.wire.ClassName

/**
 * Tardiness weights of job classes: the shorter the wait that an objective allows a class, the more each second of
 * delay costs. Weights of the policy replace those derived from objectives.
 */
internal class ClassWeights(
    settings: Settings,
) {
    private val weights = HashMap<ClassName, Double>()

    /** The weight of work within its team's guarantee, whatever its class; 0 without such an objective. */
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

    /** The weight of the class [name]; 1 if neither an objective nor the policy gives it one. */
    fun of(name: ClassName): Double = weights[name] ?: 1.0
}
