package oxbowlug.request

import oxbowlug.config.Settings
import oxbowlug.resource.resources
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineType
import oxbowlug.wire.TypeName

/** Admission of jobs: what can never run on any machine type or within the team's quota is rejected for good. */
internal object Admission {
    fun problem(
        spec: JobSpec,
        settings: Settings,
        types: Map<TypeName, MachineType>,
    ): String? {
        val team = settings.teams[spec.team] ?: return "yoke: is not a known team"
        val request = spec.resources()
        val fits =
            types.values.any { type ->
                (spec.types == null || type.name in spec.types) &&
                    (spec.zone == null || spec.zone in type.zones) &&
                    request.fitsIn(type.resources())
            }
        if (!fits) return "a task fits no allowed machine type"
        if (spec.kind != JobKind.ARRAY && spec.oneZone && spec.zoneCap < spec.tasks) {
            return "its tasks have to be in one zone, and at most half of them may be"
        }
        val concurrentTasks = if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        val isOverQuota = spec.cores * concurrentTasks > team.maxCores || spec.gpus * concurrentTasks > team.maxGpus
        return if (isOverQuota) "needs more than the team's limit" else null
    }
}
