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
import oxbowlug.port.LeaseRenewalOutcome
import oxbowlug.wire.InvalidField
import oxbowlug.wire.ReadPage
import oxbowlug.wire.StateCodec
import oxbowlug.wire.Transaction

/**
 * The state service over HTTP. [runOnEventLoop] brings outcomes back to the controller's event queue. A malformed answer counts
 * as none. Times are in milliseconds; a read of changes may be answered later than [timeoutMs] by its own wait.
 */
internal class StateClient(
    private val address: Address,
    private val http: HttpCaller,
    private val scope: CoroutineScope,
    private val timeoutMs: Long,
    private val runOnEventLoop: (() -> Unit) -> Unit,
) : StatePort {
    override fun commit(
        transaction: Transaction,
        done: (CommitOutcome) -> Unit,
    ) = call(HttpMethod.POST, "/commit", StateCodec.encode(transaction), timeoutMs, done) { result ->
        when (result) {
            is CallResult.Answered -> commitOutcome(result)
            CallResult.NotSent -> CommitOutcome.Refused
            CallResult.Unanswered -> CommitOutcome.Unanswered
        }
    }

    private fun commitOutcome(result: CallResult.Answered): CommitOutcome {
        val body = result.body
        return when (result.status) {
            OK -> body?.let { CommitOutcome.Applied(StateCodec.decodeRevision(it)) } ?: CommitOutcome.Unanswered
            CONFLICT -> CommitOutcome.Conflict(body?.let(StateCodec::decodeFailedConditions).orEmpty())
            BAD_REQUEST -> if (StateCodec.isLeaseExpired(body)) CommitOutcome.LeaseExpired else CommitOutcome.Invalid
            TOO_MANY_REQUESTS, UNAVAILABLE -> CommitOutcome.Refused
            else -> CommitOutcome.Unanswered
        }
    }

    override fun readPage(
        prefix: String,
        after: String?,
        done: (ReadPage?) -> Unit,
    ) {
        val from = if (after == null) "" else "&from=$after"
        call(HttpMethod.GET, "/store?prefix=$prefix$from&limit=$PAGE_ENTRIES", null, timeoutMs, done) { result ->
            result.bodyOf(OK)?.let(StateCodec::decodePage)
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
            val body = result.bodyOf(OK)
            when {
                body != null -> ChangesOutcome.Read(StateCodec.decodeChanges(body))
                result is CallResult.Answered && result.status == GONE -> ChangesOutcome.Compacted
                else -> ChangesOutcome.Failed
            }
        }
    }

    override fun grantLease(
        ttlMs: Long,
        done: (Long?) -> Unit,
    ) = call(HttpMethod.POST, "/holds", mapOf("life_ms" to ttlMs), timeoutMs, done) { result ->
        result.bodyOf(OK)?.let(StateCodec::decodeLease)
    }

    override fun keepLeaseAlive(
        lease: Long,
        done: (LeaseRenewalOutcome) -> Unit,
    ) = call(HttpMethod.POST, "/holds/$lease/touch", emptyMap(), timeoutMs, done) { result ->
        when {
            result is CallResult.Answered && result.status == OK -> LeaseRenewalOutcome.RENEWED
            result is CallResult.Answered && result.status == NOT_FOUND -> LeaseRenewalOutcome.EXPIRED
            else -> LeaseRenewalOutcome.FAILED
        }
    }

    override fun revokeLease(lease: Long) = call(HttpMethod.DELETE, "/holds/$lease", null, timeoutMs, {}) {}

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
            runOnEventLoop { done(outcome) }
        }
    }

    private fun CallResult.bodyOf(status: Int): Map<String, Any?>? =
        if (this is CallResult.Answered && this.status == status) body else null

    private companion object {
        /** How many entries of a page are asked for. */
        const val PAGE_ENTRIES = 250
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val GONE = 410
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
    }
}
