package oxbowlug.region

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.config.InvalidSettings
import oxbowlug.config.PolicyFile
import oxbowlug.config.SettingsFile
import oxbowlug.record.Member
import oxbowlug.testing.SampleSettings
import oxbowlug.wire.Zone
import java.io.File

internal class RegionsTest {
    private val zones = listOf("a", "b", "c", "d", "e").map(::Zone)
    private val regions = Regions(mapOf("north" to listOf(zones[0], zones[1]), "south" to listOf(zones[2], zones[3])))
    private val members = listOf("n0", "n1", "n2").map { Member(it, "life") }

    @Test
    fun `zones are in the same region if the policy says so, and otherwise each is a region of its own`() {
        assertTrue(regions.areInSameRegion(zones[0], zones[1]))
        assertFalse(regions.areInSameRegion(zones[1], zones[2]))
        assertTrue(regions.areInSameRegion(zones[4], zones[4]))
        assertFalse(regions.areInSameRegion(zones[4], Zone("f")), "zones that no region names")
        assertFalse(Regions().areInSameRegion(zones[0], zones[1]))
    }

    @Test
    fun `the delegate of a zone is a controller in it, or else the one of its region with the fewest zones`() {
        class Case(
            val name: String,
            val zoneByLabel: Map<String, Zone>,
            val loads: List<Int>,
            val expected: String?,
        )

        val cases =
            listOf(
                Case("a controller in the zone", mapOf("n0" to zones[0], "n1" to zones[1]), listOf(0, 5, 0), "n1"),
                Case("a controller in the region", mapOf("n0" to zones[0], "n2" to zones[2]), listOf(3, 0, 0), "n0"),
                Case("no controller in the region", mapOf("n2" to zones[2]), listOf(0, 0, 0), null),
                Case("the lowest load", mapOf("n0" to zones[0], "n1" to zones[0]), listOf(2, 1, 0), "n1"),
                Case("equal loads", mapOf("n0" to zones[0], "n1" to zones[0]), listOf(1, 1, 0), "n0"),
            )
        for (case in cases) {
            val reachable = members.filter { it.label in case.zoneByLabel }
            val selector = DelegateSelector(regions, case.zoneByLabel)
            val candidates = reachable.map { DelegateSelector.Candidate(it, it.label, case.loads[members.indexOf(it)]) }
            val chosen = selector.choose(zones[1], candidates)
            assertEquals(case.expected, chosen?.label, case.name)
        }
    }

    @Test
    fun `a policy's regions are checked against the zones of the settings`() {
        val cases =
            mapOf(
                "return { regions = 7 }" to "policy.regions: ",
                "return { regions = { north = 'a' } }" to "policy.regions.north: ",
                "return { regions = { north = { 1 } } }" to "policy.regions.north: ",
                "return { regions = { north = { 'a', 'z' } } }" to "policy.regions.north: names z",
                "return { regions = { north = { 'a', 'b' }, south = { 'b' } } }" to "policy.regions.",
            )
        for ((script, expected) in cases) {
            val error =
                assertThrows(InvalidSettings::class.java, {
                    SettingsFile.parse(SampleSettings.valid, PolicyFile.parse(script))
                }, script)
            assertTrue(error.message.orEmpty().startsWith(expected), "$script: ${error.message}")
        }
        val shipped = PolicyFile.parse(File("deploy/regions.lua").readText())
        assertTrue(shipped.regions.areInSameRegion(Zone("a"), Zone("b")), "the shipped example")
        val policy = PolicyFile.parse("return { regions = { north = { 'a', 'b' } } }")
        val settings = SettingsFile.parse(SampleSettings.valid, policy)
        assertTrue(settings.policy.regions.areInSameRegion(Zone("a"), Zone("b")))
    }
}
