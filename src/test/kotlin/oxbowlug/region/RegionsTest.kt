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
    fun `zones are together in a region, and a zone without one is alone`() {
        assertTrue(regions.areInSameRegion(zones[0], zones[1]))
        assertFalse(regions.areInSameRegion(zones[1], zones[2]))
        assertTrue(regions.areInSameRegion(zones[4], zones[4]))
        assertFalse(regions.areInSameRegion(zones[4], Zone("f")), "two zones that no region names")
        assertFalse(Regions().areInSameRegion(zones[0], zones[1]))
    }

    @Test
    fun `a zone's own controller renews it, and otherwise the least burdened one of its region`() {
        class Case(
            val name: String,
            val standing: Map<String, Zone>,
            val loads: List<Int>,
            val expected: String?,
        )

        val cases =
            listOf(
                Case("one in the zone", mapOf("n0" to zones[0], "n1" to zones[1]), listOf(0, 5, 0), "n1"),
                Case("one in the region", mapOf("n0" to zones[0], "n2" to zones[2]), listOf(3, 0, 0), "n0"),
                Case("none in the region", mapOf("n2" to zones[2]), listOf(0, 0, 0), null),
                Case("the least burdened", mapOf("n0" to zones[0], "n1" to zones[0]), listOf(2, 1, 0), "n1"),
                Case("equally burdened", mapOf("n0" to zones[0], "n1" to zones[0]), listOf(1, 1, 0), "n0"),
            )
        for (case in cases) {
            val present = members.filter { it.label in case.standing }
            val choice = DelegateSelector(regions, case.standing)
            val candidates = present.map { DelegateSelector.Candidate(it, it.label, case.loads[members.indexOf(it)]) }
            val chosen = choice.choose(zones[1], candidates)
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
        assertTrue(shipped.regions.areInSameRegion(Zone("a"), Zone("b")), "the example that is shipped")
        val read = PolicyFile.parse("return { regions = { north = { 'a', 'b' } } }")
        val settings = SettingsFile.parse(SampleSettings.valid, read)
        assertTrue(settings.policy.regions.areInSameRegion(Zone("a"), Zone("b")))
    }
}
