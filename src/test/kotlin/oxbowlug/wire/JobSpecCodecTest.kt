package oxbowlug.wire

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

internal class JobSpecCodecTest {
    @Test
    fun `encoding and decoding preserve a specification`() {
        val spec = JobSpecCodec.decode(valid())
        assertEquals(spec, JobSpecCodec.decode(Cbor.decode(Cbor.encode(JobSpecCodec.encode(spec)))))
        assertEquals(16, spec.tasks)
        assertEquals(Priority.HIGH, spec.priority)
        assertEquals(900.0, spec.deadlineS)
    }

    @Test
    fun `duplicate dependencies are removed, and a missing list is the same as an empty one`() {
        val cases =
            mapOf(
                listOf("run-2", "run-1", "run-2") to listOf(JobId("run-2"), JobId("run-1")),
                emptyList<String>() to emptyList(),
                null to emptyList(),
            )
        for ((given, expected) in cases) {
            val spec = JobSpecCodec.decode(valid() + ("waits_on" to given))
            assertEquals(expected, spec.dependsOn)
            assertEquals(spec, JobSpecCodec.decode(Cbor.decode(Cbor.encode(JobSpecCodec.encode(spec)))))
        }
        assertEquals(false, "waits_on" in JobSpecCodec.encode(JobSpecCodec.decode(valid())))
    }

    @Test
    fun `unknown fields are ignored and nullable ones may be missing`() {
        val map = valid() + ("colour" to "green") - "breeds" - "paddock" - "dusk_s"
        val spec = JobSpecCodec.decode(map)
        assertEquals(null, spec.types)
        assertEquals(null, spec.zone)
        assertEquals(null, spec.deadlineS)
    }

    @ParameterizedTest
    @MethodSource("invalid")
    fun `an invalid field is named in the error`(case: Pair<String, Any?>) {
        val (field, value) = case
        val error = assertThrows(InvalidField::class.java) { JobSpecCodec.decode(valid() + (field to value)) }
        assertEquals(field, error.field)
    }

    companion object {
        fun valid(): Map<String, Any?> =
            mapOf(
                "id" to "run-000412",
                "harness" to "train",
                "yoke" to "vision",
                "gait" to "batch",
                "urgency" to "urgent",
                "furrows" to 16L,
                "cores" to 8.0,
                "gpus" to 1.0,
                "mem_gb" to 64.0,
                "seedbag" to "img-07",
                "pull_gb" to 6.2,
                "breeds" to listOf("g8"),
                "paddock" to null,
                "same_place" to true,
                "scatter" to false,
                "stray" to true,
                "haul_s" to 240.0,
                "rest_s" to 30.0,
                "stow_s" to 4.0,
                "dusk_s" to 900.0,
            )

        @JvmStatic
        fun invalid(): List<Pair<String, Any?>> =
            listOf(
                "id" to null,
                "id" to "",
                "id" to "run/1",
                "id" to "run 1",
                "id" to 7L,
                "id" to "x".repeat(101),
                "harness" to 1L,
                "harness" to "x".repeat(81),
                "yoke" to null,
                "gait" to "herd",
                "gait" to "Batch",
                "urgency" to "soon",
                "furrows" to 0L,
                "furrows" to 100_001L,
                "furrows" to 1.0,
                "furrows" to "1",
                "furrows" to -1L,
                "cores" to -1.0,
                "cores" to Double.NaN,
                "cores" to Double.POSITIVE_INFINITY,
                "cores" to "8",
                "cores" to true,
                "gpus" to null,
                "mem_gb" to 1e13,
                "seedbag" to "",
                "pull_gb" to -0.1,
                "breeds" to "g8",
                "breeds" to listOf(1L),
                "breeds" to listOf(""),
                "breeds" to List(17) { "t$it" },
                "paddock" to 1L,
                "same_place" to null,
                "scatter" to 1L,
                "stray" to "true",
                "waits_on" to "run-1",
                "waits_on" to listOf(1L),
                "waits_on" to listOf("run 1"),
                "waits_on" to listOf(""),
                "waits_on" to listOf("x".repeat(101)),
                "waits_on" to List(129) { "run-$it" },
                "waits_on" to mapOf("run-1" to true),
                "haul_s" to null,
                "rest_s" to -1.0,
                "stow_s" to 1e10,
                "dusk_s" to "soon",
                "dusk_s" to Double.NaN,
            )
    }
}
