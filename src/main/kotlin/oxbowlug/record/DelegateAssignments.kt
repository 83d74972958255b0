package oxbowlug.record

import oxbowlug.wire.FencingToken
import oxbowlug.wire.Zone
import oxbowlug.wire.fields

/** Whom the leader with [token] named for each zone, as the state service has it. */
internal data class DelegateAssignments(
    val token: FencingToken,
    val byZone: Map<Zone, Member>,
    val version: Long,
) {
    fun encode(): Map<String, Any?> =
        mapOf(
            "token" to token.value,
            "zones" to
                byZone.entries.associate { (zone, member) ->
                    zone.value to mapOf("label" to member.label, "incarnation" to member.incarnation)
                },
        )

    companion object {
        fun decode(
            value: Map<String, Any?>,
            version: Long,
        ): DelegateAssignments {
            val fields = value.fields()
            val zones = fields.map("zones")
            val byZone =
                zones.keys.associate { zone ->
                    val named = zones.fields().map(zone).fields()
                    Zone(zone) to Member(named.text("label"), named.text("incarnation"))
                }
            return DelegateAssignments(FencingToken(fields.count("token")), byZone, version)
        }
    }
}
