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

/** When peers count as reaching a state service that this controller has lost. */
internal class PeerHealthTest {
    @Test
    fun `the state service counts as reachable by others if a peer reaches it or all peers are silent`() {
        class Case(
            val name: String,
            val peers: Int,
            val reachesState: Map<String, Boolean>,
            val elapsedMs: Long,
            val isReachable: Boolean,
        )
        val cases =
            listOf(
                Case("there are no peers", 0, emptyMap(), 0, false),
                Case("no peer has sent a heartbeat", 2, emptyMap(), 0, true),
                Case("no peer reaches the state service", 2, mapOf("n1" to false, "n2" to false), 0, false),
                Case("one peer reaches the state service", 2, mapOf("n1" to false, "n2" to true), 0, true),
                Case("the peers that lost the state service are silent", 2, mapOf("n1" to false), 60_000, true),
            )
        for (case in cases) {
            val clock = ManualClock(now = 1_000)
            val timing = Timing(SettingsFile.parse(SampleSettings.valid), Random(1))
            val health = PeerHealth(case.peers, clock, timing)
            for ((label, sees) in case.reachesState) health.onHeartbeat(PeerHeartbeat(Member(label, "x"), 1, null, sees))
            clock.now += case.elapsedMs
            assertEquals(case.isReachable, health.isStateReachableByOthers(), case.name)
        }
    }
}
