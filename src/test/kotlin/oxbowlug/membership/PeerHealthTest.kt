package oxbowlug.membership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import oxbowlug.config.SettingsFile
import oxbowlug.port.PeerHeartbeat
import oxbowlug.record.Member
import oxbowlug.testing.ManualClock
import oxbowlug.testing.SampleSettings
import oxbowlug.timing.Timing
import kotlin.random.Random

internal class PeerHealthTest {
    @Test
    fun `a controller without the state service steps aside only for one that has it`() {
        class Case(
            val name: String,
            val peers: Int,
            val heard: Map<String, Boolean>,
            val later: Long,
            val other: Boolean,
        )
        val cases =
            listOf(
                Case("it is the only one", 0, emptyMap(), 0, false),
                Case("it hears nobody", 2, emptyMap(), 0, true),
                Case("all are without it", 2, mapOf("n1" to false, "n2" to false), 0, false),
                Case("one has it", 2, mapOf("n1" to false, "n2" to true), 0, true),
                Case("those who were without it are silent", 2, mapOf("n1" to false), 60_000, true),
            )
        for (case in cases) {
            val clock = ManualClock(now = 1_000)
            val timing = Timing(SettingsFile.parse(SampleSettings.valid), Random(1))
            val peerHealth = PeerHealth(case.peers, clock, timing)
            for ((label, sees) in case.heard) peerHealth.onHeartbeat(PeerHeartbeat(Member(label, "x"), 1, null, sees))
            clock.now += case.later
            assertEquals(case.other, peerHealth.isStateReachableByOthers(), case.name)
        }
    }
}
