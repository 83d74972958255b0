package oxbowlug.worker

import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import oxbowlug.config.Address
import oxbowlug.http.CallResult
import oxbowlug.http.HttpCaller
import oxbowlug.port.CommandOutcome
import oxbowlug.port.WorkerPort
import oxbowlug.wire.FencingToken
import oxbowlug.wire.InvalidField
import oxbowlug.wire.WorkerCodec
import oxbowlug.wire.WorkerCommand
import oxbowlug.wire.WorkerHeartbeat

/** Calls straight to a worker's address over HTTP. [runOnEventLoop] brings outcomes back to the owner's event loop. */
internal class WorkerClient(
    private val http: HttpCaller,
    private val scope: CoroutineScope,
    private val timeoutMs: Long,
    private val runOnEventLoop: (() -> Unit) -> Unit,
) : WorkerPort {
    override fun command(
        endpoint: Address,
        token: FencingToken,
        incarnation: Long,
        commands: List<WorkerCommand>,
        done: (CommandOutcome) -> Unit,
    ) {
        scope.launch {
            val body = WorkerCodec.encodeDirectCommands(token, incarnation, commands)
            val outcome =
                when (val result = http.call(endpoint, HttpMethod.POST, "/do", body, timeoutMs)) {
                    is CallResult.Answered -> read(result)
                    CallResult.NotSent -> CommandOutcome.NotSent
                    CallResult.Unanswered -> CommandOutcome.Unanswered
                }
            runOnEventLoop { done(outcome) }
        }
    }

    override fun status(
        endpoint: Address,
        done: (WorkerHeartbeat?) -> Unit,
    ) {
        scope.launch {
            val result = http.call(endpoint, HttpMethod.GET, "/status", null, timeoutMs)
            val heartbeat =
                if (result is CallResult.Answered && result.status == 200) {
                    (read(result) as? CommandOutcome.Answered)?.heartbeat
                } else {
                    null
                }
            runOnEventLoop { done(heartbeat) }
        }
    }

    private fun read(result: CallResult.Answered): CommandOutcome {
        val body = result.body ?: return CommandOutcome.Unanswered
        if (result.status != 200 && result.status != 409) return CommandOutcome.Unanswered
        return try {
            CommandOutcome.Answered(WorkerCodec.decodeHeartbeat(body), executed = result.status == 200)
        } catch (_: InvalidField) {
            CommandOutcome.Unanswered
        }
    }
}
