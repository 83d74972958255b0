package oxbowlug.record

import oxbowlug.wire.FencingToken
import oxbowlug.wire.Zone
import oxbowlug.wire.fields

/** The stored record of the lease renewal delegate that the leader with [token] assigned to each zone. */
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
                    val delegate = zones.fields().map(zone).fields()
                    Zone(zone) to Member(delegate.text("label"), delegate.text("incarnation"))
                }
            return DelegateAssignments(FencingToken(fields.count("token")), byZone, version)
        }
    }
}
