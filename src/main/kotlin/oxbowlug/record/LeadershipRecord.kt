package oxbowlug.record

import oxbowlug.wire.FencingToken
import oxbowlug.wire.fields

/** Who leads. Every change raises [epoch]; [token] is the epoch at which the present leader took over. */
internal data class LeadershipRecord(
    val epoch: Long,
    val token: FencingToken,
    val leader: Member,
    val version: Long,
) {
    fun encode(): Map<String, Any?> =
        mapOf(
            "epoch" to epoch,
            "token" to token.value,
            "leader" to leader.label,
            "incarnation" to leader.incarnation,
        )

    companion object {
        fun decode(
            value: Map<String, Any?>,
            version: Long,
        ): LeadershipRecord {
            val fields = value.fields()
            return LeadershipRecord(
                epoch = fields.count("epoch"),
                token = FencingToken(fields.count("token")),
                leader = Member(fields.text("leader"), fields.text("incarnation")),
                version = version,
            )
        }
    }
}
