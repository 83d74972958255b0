package oxbowlug.wire

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

internal class CborMessagesTest {
    private fun bytes(vararg values: Int) = ByteArray(values.size) { values[it].toByte() }

    @Test
    fun `a body that isn't exactly one CBOR map is rejected`() {
        val nested = ByteArray(80) { 0x81.toByte() } + bytes(0)
        val cases =
            listOf(
                bytes(),
                bytes(0x80),
                bytes(0x01),
                bytes(0x61, 0x61),
                bytes(0xA1, 0x61),
                bytes(0xFF),
                bytes(0xA0, 0xA0),
                "{\"id\":1}".encodeToByteArray(),
                bytes(0xA1, 0x61, 0x61, 0x41, 0x00),
                bytes(0xA1, 0x61, 0x61) + nested,
                bytes(0xA1, 0x01, 0x02, 0x03),
            )
        for (case in cases) assertThrows(MalformedBody::class.java, { Cbor.decode(case) }, case.joinToString())
    }

    @Test
    fun `encoding and decoding preserve all values`() {
        val map =
            mapOf(
                "null" to null,
                "text" to "š",
                "int" to 7L,
                "big" to Long.MAX_VALUE,
                "real" to 4.0,
                "yes" to true,
                "list" to listOf(1L, "two", listOf<Any?>()),
                "map" to mapOf("a" to mapOf("b" to 1L)),
            )
        assertEquals(map, Cbor.decode(Cbor.encode(map)))
    }

    @Test
    fun `a heartbeat is decoded, and an invalid field is named in the error`() {
        val valid =
            mapOf(
                "beast" to "host-1",
                "endpoint" to "10.1.0.2:9000",
                "breed" to "g8",
                "paddock" to "a",
                "stray" to true,
                "shift" to 1L,
                "tally" to 88L,
                "brand" to 41L,
                "whistle_s" to null,
                "furrows" to
                    listOf(
                        mapOf("furrow" to "run-1/3", "try" to 2L, "stance" to "running"),
                        mapOf("furrow" to "run-2/0", "try" to 1L, "stance" to "exited", "cause" to "mislaid"),
                    ),
            )
        val heartbeat = WorkerCodec.decodeHeartbeat(valid)
        assertEquals(AttemptId(TaskId(JobId("run-1"), 3), 2), heartbeat.tasks[0].attempt)
        assertEquals(ExitCause.OTHER, heartbeat.tasks[1].cause)
        val wrong =
            mapOf(
                "beast" to null,
                "shift" to 1.5,
                "tally" to -1L,
                "brand" to "x",
                "stray" to 1L,
                "furrows" to "none",
                "whistle_s" to -1.0,
            )
        for ((field, value) in wrong) {
            val error =
                assertThrows(InvalidField::class.java, {
                    WorkerCodec.decodeHeartbeat(valid + (field to value))
                }, field)
            assertEquals(field, error.field)
        }
        val tasks =
            listOf("run-1", "run-1/", "run-1/-1", "/3", "run-1/x").map {
                mapOf("furrow" to it, "try" to 1L, "stance" to "running")
            }
        for (task in tasks) {
            assertThrows(InvalidField::class.java) { WorkerCodec.decodeHeartbeat(valid + ("furrows" to listOf(task))) }
        }
    }
}
