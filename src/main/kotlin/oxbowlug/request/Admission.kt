package oxbowlug.request

import oxbowlug.config.Settings
import oxbowlug.resource.resources
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.MachineType
import oxbowlug.wire.TypeName

/** The outcome of the admission check. */
internal sealed interface AdmissionResult {
    data object Admitted : AdmissionResult

    /** The job can never run; [problem] is returned to the user. */
    data class Rejected(
        val problem: String,
    ) : AdmissionResult
}

/** The admission check, which rejects jobs that can never run on any machine type or within the team's quota. */
internal object Admission {
    fun check(
        spec: JobSpec,
        settings: Settings,
        types: Map<TypeName, MachineType>,
    ): AdmissionResult {
        val team = settings.teams[spec.team] ?: return AdmissionResult.Rejected("yoke: is not a known team")
        val request = spec.resources()
        val fits =
            types.values.any { type ->
                (spec.types == null || type.name in spec.types) &&
                    (spec.zone == null || spec.zone in type.zones) &&
                    request.fitsIn(type.resources())
            }
        if (!fits) return AdmissionResult.Rejected("a task fits no allowed machine type")
        if (spec.kind != JobKind.ARRAY && spec.oneZone && spec.maxTasksPerZone < spec.tasks) {
            return AdmissionResult.Rejected("its tasks have to be in one zone, and at most half of them may be")
        }
        val concurrentTasks = if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        val isOverQuota = spec.cores * concurrentTasks > team.maxCores || spec.gpus * concurrentTasks > team.maxGpus
        if (isOverQuota) return AdmissionResult.Rejected("needs more than the team's limit")
        return AdmissionResult.Admitted
    }
}
