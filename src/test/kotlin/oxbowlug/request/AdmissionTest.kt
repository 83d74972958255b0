package oxbowlug.request

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.config.SettingsFile
import oxbowlug.testing.SampleSettings
import oxbowlug.wire.JobKind
import oxbowlug.wire.JobSpec
import oxbowlug.wire.JobSpecCodec
import oxbowlug.wire.JobSpecCodecTest
import oxbowlug.wire.MachineType
import oxbowlug.wire.TeamName
import oxbowlug.wire.TypeName
import oxbowlug.wire.Zone

/** Jobs that can never run are rejected; jobs that only can't run at present are admitted. */
internal class AdmissionTest {
    private val settings = SettingsFile.parse(SampleSettings.valid)
    private val zones = listOf(Zone("a"), Zone("b"))
    private val types =
        listOf(
            MachineType(TypeName("g8"), 64.0, 8.0, 256.0, 200.0, 2.0, 20.0, 8.0, 8.0, zones),
            MachineType(TypeName("c32"), 32.0, 0.0, 128.0, 35.0, 0.5, 1.2, 0.5, 5.0, zones.take(1)),
        ).associateBy { it.name }
    private val admissibleSpec = JobSpecCodec.decode(JobSpecCodecTest.valid()).copy(types = null, oneZone = false)

    @Test
    fun `a job that can never run is rejected with the reason`() {
        class Case(
            val problem: String?,
            val spec: JobSpec,
        )
        val noMachineType = "a task fits no allowed machine type"
        val overTeamLimit = "needs more than the team's limit"
        val cases =
            listOf(
                Case(null, admissibleSpec),
                Case("yoke: is not a known team", admissibleSpec.copy(team = TeamName("nobody"))),
                Case(noMachineType, admissibleSpec.copy(cores = 65.0)),
                Case(noMachineType, admissibleSpec.copy(memoryGb = 257.0)),
                Case(noMachineType, admissibleSpec.copy(gpus = 9.0)),
                Case(noMachineType, admissibleSpec.copy(types = listOf(TypeName("c32")))),
                Case(noMachineType, admissibleSpec.copy(types = listOf(TypeName("unknown")))),
                Case(noMachineType, admissibleSpec.copy(types = emptyList())),
                Case(noMachineType, admissibleSpec.copy(zone = Zone("c"))),
                Case(noMachineType, admissibleSpec.copy(gpus = 0.0, types = listOf(TypeName("c32")), zone = Zone("b"))),
                Case(null, admissibleSpec.copy(gpus = 0.0, types = listOf(TypeName("c32")), zone = Zone("a"))),
                Case(null, admissibleSpec.copy(gpus = 1.0, tasks = 1_000)),
                Case(null, admissibleSpec.copy(kind = JobKind.SERVICE, gpus = 1.0, tasks = 16)),
                Case(overTeamLimit, admissibleSpec.copy(kind = JobKind.SERVICE, gpus = 1.0, tasks = 17)),
                Case(null, admissibleSpec.copy(oneZone = true, spread = true, tasks = 4)),
                Case(
                    "its tasks have to be in one zone, and at most half of them may be",
                    admissibleSpec.copy(kind = JobKind.SERVICE, oneZone = true, spread = true, tasks = 4),
                ),
                Case(null, admissibleSpec.copy(kind = JobKind.SERVICE, oneZone = true, spread = true, tasks = 1)),
            )
        for (case in cases) {
            val expected = case.problem?.let(AdmissionResult::Rejected) ?: AdmissionResult.Admitted
            assertEquals(expected, Admission.check(case.spec, settings, types), "${case.spec}")
        }
    }
}
