package oxbowlug.record

import oxbowlug.fencing.FencingTokenRange
import oxbowlug.wire.FencingToken
import oxbowlug.wire.fields

/**
 * The stored record of the current leader. Every change of the record increases [epoch]. The fencing tokens of this
 * leader are those from [token] to [epoch], so each leader has higher ones than those before it. Versions that use
 * [token] alone take the next epoch for their own, and so a higher one too. [version] is the revision at which the
 * record was written.
 */
internal data class LeadershipRecord(
    val epoch: Long,
    val token: FencingToken,
    val leader: Member,
    val version: Long,
) {
    val tokens: FencingTokenRange get() = FencingTokenRange(token, FencingToken(epoch))

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
