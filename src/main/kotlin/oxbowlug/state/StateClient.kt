package oxbowlug.state

import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import oxbowlug.config.Address
import oxbowlug.http.CallResult
import oxbowlug.http.HttpCaller
import oxbowlug.port.ChangesOutcome
import oxbowlug.port.CommitOutcome
import oxbowlug.port.StatePort
import oxbowlug.port.TouchOutcome
import oxbowlug.wire.InvalidField
import oxbowlug.wire.ReadPage
import oxbowlug.wire.StoreCodec
import oxbowlug.wire.Transaction

/** The state service over HTTP. [settle] brings outcomes back to the core's queue. */
internal class StateClient(
    private val address: Address,
    private val http: HttpCaller,
    private val scope: CoroutineScope,
    private val timeoutMs: Long,
    private val settle: (() -> Unit) -> Unit,
) : StatePort {
    override fun commit(
        transaction: Transaction,
        done: (CommitOutcome) -> Unit,
    ) = call(HttpMethod.POST, "/commit", StoreCodec.encode(transaction), timeoutMs, done) { result ->
        when (result) {
            is CallResult.Answered -> commitOutcome(result)
            CallResult.NotSent -> CommitOutcome.Refused
            CallResult.Unanswered -> CommitOutcome.Unanswered
        }
    }

    private fun commitOutcome(result: CallResult.Answered): CommitOutcome {
        val body = result.body
        return when (result.status) {
            200 -> body?.let { CommitOutcome.Applied(StoreCodec.decodeRevision(it)) } ?: CommitOutcome.Unanswered
            409 -> CommitOutcome.Conflict(body?.let(StoreCodec::decodeFailed).orEmpty())
            400 -> if (StoreCodec.isLeaseOver(body)) CommitOutcome.LeaseOver else CommitOutcome.Invalid
            429, 503 -> CommitOutcome.Refused
            else -> CommitOutcome.Unanswered
        }
    }

    override fun readPage(
        prefix: String,
        after: String?,
        done: (ReadPage?) -> Unit,
    ) {
        val from = if (after == null) "" else "&from=$after"
        call(HttpMethod.GET, "/store?prefix=$prefix$from&limit=$PAGE", null, timeoutMs, done) { result ->
            result.bodyOf(200)?.let(StoreCodec::decodePage)
        }
    }

    override fun changes(
        prefix: String,
        from: Long,
        waitMs: Long,
        done: (ChangesOutcome) -> Unit,
    ) {
        val path = "/changes?prefix=$prefix&from=$from&block_ms=$waitMs"
        call(HttpMethod.GET, path, null, timeoutMs + waitMs, done) { result ->
            val body = result.bodyOf(200)
            when {
                body != null -> ChangesOutcome.Read(StoreCodec.decodeChanges(body))
                result is CallResult.Answered && result.status == 410 -> ChangesOutcome.TooOld
                else -> ChangesOutcome.Failed
            }
        }
    }

    override fun grant(
        lifeMs: Long,
        done: (Long?) -> Unit,
    ) = call(HttpMethod.POST, "/holds", mapOf("life_ms" to lifeMs), timeoutMs, done) { result ->
        result.bodyOf(200)?.let(StoreCodec::decodeLease)
    }

    override fun touch(
        lease: Long,
        done: (TouchOutcome) -> Unit,
    ) = call(HttpMethod.POST, "/holds/$lease/touch", emptyMap(), timeoutMs, done) { result ->
        when {
            result is CallResult.Answered && result.status == 200 -> TouchOutcome.RENEWED
            result is CallResult.Answered && result.status == 404 -> TouchOutcome.OVER
            else -> TouchOutcome.FAILED
        }
    }

    override fun release(lease: Long) = call(HttpMethod.DELETE, "/holds/$lease", null, timeoutMs, {}) {}

    private fun <T> call(
        method: HttpMethod,
        path: String,
        body: Map<String, Any?>?,
        timeout: Long,
        done: (T) -> Unit,
        read: (CallResult) -> T,
    ) {
        scope.launch {
            val result = http.call(address, method, path, body, timeout)
            val outcome =
                try {
                    read(result)
                } catch (_: InvalidField) {
                    // A malformed answer counts as none.
                    read(CallResult.Unanswered)
                }
            settle { done(outcome) }
        }
    }

    private fun CallResult.bodyOf(status: Int): Map<String, Any?>? =
        if (this is CallResult.Answered && this.status == status) body else null

    private companion object {
        const val PAGE = 250
    }
}
