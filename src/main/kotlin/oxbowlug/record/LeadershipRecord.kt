package oxbowlug.record

import oxbowlug.wire.FencingToken
import oxbowlug.wire.fields

/**
 * The stored record of the current leader. Every change of the record increases [epoch]. The fencing token [token] is
 * the epoch at which this leader was elected; [version] is the revision at which the record was written.
 */
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
