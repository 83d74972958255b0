package oxbowlug.config

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import oxbowlug.testing.SampleSettings
import oxbowlug.wire.ClassName
import oxbowlug.wire.TeamName

internal class ConfigTest {
    @Test
    fun `valid settings are parsed, and a limit of 0 means no limit`() {
        val settings = SettingsFile.parse(SampleSettings.valid)
        val team = settings.teams.getValue(TeamName("vision"))
        assertEquals(16.0, team.maxGpus)
        assertEquals(Double.POSITIVE_INFINITY, team.maxCores)
        assertEquals(2, settings.controllerCount)
        assertEquals(Address("127.0.0.4", 2379), settings.stateAddress)
    }

    @Test
    fun `unknown fields and kinds of objectives are ignored`() {
        val text = "colour = \"green\"\n" + SampleSettings.valid.replace("kind = \"wait\"", "kind = \"taste\"")
        assertEquals(emptyList<Objective>(), SettingsFile.parse(text).objectives)
    }

    @Test
    fun `the lowest write limits cover both the present and the next ones`() {
        val next = "[settings.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\n[settings.cloud]"
        val state = SettingsFile.parse(SampleSettings.valid.replace("[settings.cloud]", next)).state
        assertEquals(WriteLimits(15.0, 2.0, state.txnOps), state.lowest)
        val withoutNext = SettingsFile.parse(SampleSettings.valid).state
        assertEquals(withoutNext.present, withoutNext.lowest)
    }

    @Test
    fun `the error of an invalid setting begins with its path`() {
        val cases =
            mapOf(
                ("label = \"n0\"" to "") to "label",
                ("127.0.0.1:8080" to "nowhere") to "client_listen",
                ("127.0.0.2:8081" to "127.0.0.2:99999") to "others[0].addr",
                ("lease_s = 10.0" to "lease_s = 0.0") to "settings.workers.lease_s",
                ("lease_s = 10.0" to "lease_s = \"long\"") to "settings.workers.lease_s",
                ("lease_s = 10.0" to "lease_s = 0.5") to "settings.workers.lease_s",
                ("write_rps = 20.0" to "write_rps = 0") to "settings.state.write_rps",
                ("zones = [\"a\", \"b\"]" to "zones = []") to "settings.zones",
                ("rps = 250.0" to "") to "settings.state.rps",
                ("share = 0.9" to "share = 1.5") to "settings.objectives[0].share",
                ("gpus_max = 16.0" to "gpus_max = -1.0") to "settings.teams[0].gpus_max",
                ("zones = [\"a\", \"b\"]" to "zones = [1]") to "settings.zones",
                ("[outside]" to "[inside]") to "outside",
                ("[settings.cloud]" to "[settings.state.next]\nvalue_kb = 0\n[settings.cloud]") to
                    "settings.state.next.value_kb",
                ("[settings.cloud]" to "[settings.state.next]\ntxn_ops = \"few\"\n[settings.cloud]") to
                    "settings.state.next.txn_ops",
                ("[settings.cloud]" to "[settings.state.next]\nwrite_rps = -1.0\n[settings.cloud]") to
                    "settings.state.next.write_rps",
                ("write_rps = 20.0" to "write_rps = 20.0\nnext = 7") to "settings.state.next",
                ("[outside]" to "[outside") to "not valid TOML",
            )
        for ((change, field) in cases) {
            val text = SampleSettings.valid.replace(change.first, change.second)
            val error = assertThrows(InvalidSettings::class.java, { SettingsFile.parse(text) }, field)
            assertTrue(error.message.orEmpty().startsWith(field), "${error.message} should name $field")
        }
    }

    @Test
    fun `a policy overrides the keys that it sets and keeps the other defaults`() {
        val policy = PolicyFile.parse("local h = 20 return { replan_s = h * 2, class_weights = { train = 3 } }")
        assertEquals(40.0, policy.replanS)
        assertEquals(mapOf(ClassName("train") to 3.0), policy.classWeights)
        assertEquals(Policy().postponeFactor, policy.postponeFactor)
    }

    @Test
    fun `an invalid policy is rejected with its key, and an endless loop is aborted`() {
        val cases =
            mapOf(
                "return { speed = 1 }" to "policy.speed",
                "return { replan_s = 'soon' }" to "policy.replan_s",
                "return { replan_s = 0 }" to "policy.replan_s",
                "return { postpone_factor = 0/0 }" to "policy.postpone_factor",
                "return { class_weights = { train = -1 } }" to "policy.class_weights.train",
                "return 7" to "policy: must return a table",
                "return {" to "policy: ",
                "while true do end" to "policy: ",
                "return { replan_s = os.time() }" to "policy: ",
                "return { replan_s = #io.open('x'):read() }" to "policy: ",
            )
        for ((script, start) in cases) {
            val error = assertThrows(InvalidSettings::class.java, { PolicyFile.parse(script) }, script)
            assertTrue(error.message.orEmpty().startsWith(start), "$script: ${error.message}")
        }
    }
}
