package oxbowlug.scale

import oxbowlug.lease.HeartbeatResponse
import oxbowlug.wire.AttemptId
import oxbowlug.wire.Change
import oxbowlug.wire.Condition
import oxbowlug.wire.FencingToken
import oxbowlug.wire.Fields
import oxbowlug.wire.ListedMachine
import oxbowlug.wire.MachineType
import oxbowlug.wire.TaskId
import oxbowlug.wire.Transaction
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat
import oxbowlug.wire.fields

/** The other side of the published interfaces: what workers, the state service and the cloud encode and decode. */
internal object Wire {
    fun encodeReport(report: WorkerHeartbeat): Map<String, Any?> = mapOf(
        "beast" to report.machine.value,
        "endpoint" to report.endpoint,
        "breed" to report.type.value,
        "paddock" to report.zone.value,
        "stray" to report.spot,
        "shift" to report.incarnation,
        "tally" to report.sequence,
        "brand" to report.token.value,
        "whistle_s" to report.interruptionNoticeS,
        "furrows" to report.tasks.map { task ->
            val map = LinkedHashMap<String, Any?>()
            map["furrow"] = task.attempt.task.toString()
            map["try"] = task.attempt.number
            map["stance"] = task.state.wire
            task.cause?.let { map["cause"] = it.wire }
            if (task.saved) map["saved"] = true
            map
        },
    )

    fun decodeAnswer(status: Int, body: Map<String, Any?>): HeartbeatResponse = when (status) {
        Status.OK -> {
            val fields = body.fields()
            HeartbeatResponse.Renewed(FencingToken(fields.countOr("brand", 0)), decodeCommands(fields))
        }
        Status.REDIRECT -> HeartbeatResponse.Redirect(body.fields().textOrNull("drover"))
        else -> HeartbeatResponse.Unavailable
    }

    fun decodeCommands(fields: Fields): List<WorkerCommand> = fields.maps("calls").mapNotNull { call ->
        val task = TaskId.parse(call.text("furrow")) ?: return@mapNotNull null
        val attempt = AttemptId(task, call.count("try"))
        when (call.text("call")) {
            "run" -> WorkerCommand.Start(attempt)
            "kill" -> WorkerCommand.Stop(attempt, call.amountOr("slack_s", 0.0))
            "reap" -> WorkerCommand.Forget(attempt)
            else -> null
        }
    }

    fun decodeTransaction(body: Map<String, Any?>): Transaction {
        val fields = body.fields()
        val conditions = if (fields.has("if")) fields.maps("if") else emptyList()
        val changes = if (fields.has("then")) fields.maps("then") else emptyList()
        return Transaction(
            conditions.map { Condition(it.text("key"), it.count("mark")) },
            changes.map { change ->
                if (change.has("set")) {
                    val lease = if (change.has("tether")) change.count("tether") else null
                    Change.Put(change.text("set"), change.map("value"), lease)
                } else {
                    Change.Delete(change.text("remove"))
                }
            },
        )
    }

    fun encodeType(type: MachineType): Map<String, Any?> = mapOf(
        "label" to type.name.value, "cores" to type.cores, "gpus" to type.gpus, "mem_gb" to type.memoryGb,
        "local_gb" to type.cacheGb, "pull_gb_per_s" to type.fetchGbPerS, "price" to type.price,
        "low_price" to type.spotPrice, "ready_s" to type.bootS, "paddocks" to type.zones.map { it.value },
    )

    fun encodeListed(machine: ListedMachine, endpoint: String): Map<String, Any?> = mapOf(
        "id" to machine.id.value, "endpoint" to endpoint, "breed" to machine.type.value,
        "paddock" to machine.zone.value, "stray" to machine.spot, "stance" to machine.state.wire,
        "age_s" to machine.ageS,
    )
}
