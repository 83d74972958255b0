package oxbowlug.cloud

import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import oxbowlug.config.Address
import oxbowlug.http.CallResult
import oxbowlug.http.HttpCaller
import oxbowlug.port.CloudPort
import oxbowlug.port.RentalOutcome
import oxbowlug.wire.CloudCodec
import oxbowlug.wire.InvalidField
import oxbowlug.wire.ListedMachine
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.RentalRequest

/** The cloud over HTTP. [runOnEventLoop] brings outcomes back to the owner's event loop. */
internal class CloudClient(
    private val address: Address,
    private val http: HttpCaller,
    private val scope: CoroutineScope,
    private val timeoutMs: Long,
    private val runOnEventLoop: (() -> Unit) -> Unit,
) : CloudPort {
    override fun types(done: (List<MachineType>?) -> Unit) =
        launch(done, null) {
            get("/machine_types")?.let(CloudCodec::decodeTypes)
        }

    override fun rent(
        request: RentalRequest,
        done: (RentalOutcome) -> Unit,
    ) = launch(done, RentalOutcome.Unanswered) {
        val result = http.call(address, HttpMethod.POST, "/rentals", CloudCodec.encodeRental(request), timeoutMs)
        when (result) {
            is CallResult.Answered -> rentalOutcome(result)
            CallResult.NotSent -> RentalOutcome.Refused
            CallResult.Unanswered -> RentalOutcome.Unanswered
        }
    }

    private fun rentalOutcome(result: CallResult.Answered): RentalOutcome {
        val body = result.body
        return when (result.status) {
            200 -> if (body == null) RentalOutcome.Unanswered else RentalOutcome.Rented(CloudCodec.decodeRented(body))
            503 -> if (body?.get("error") == "no capacity") RentalOutcome.NoCapacity else RentalOutcome.Refused
            429 -> RentalOutcome.Refused
            else -> RentalOutcome.Unanswered
        }
    }

    override fun releaseMachines(
        machines: List<MachineId>,
        done: (Boolean) -> Unit,
    ) = launch(done, false) {
        val body = CloudCodec.encodeRelease(machines)
        val result = http.call(address, HttpMethod.POST, "/rentals/return", body, timeoutMs)
        result is CallResult.Answered && result.status == 200
    }

    override fun list(done: (List<ListedMachine>?) -> Unit) =
        launch(done, null) {
            val listed = ArrayList<ListedMachine>()
            var hasMorePages = true
            var isComplete = true
            while (hasMorePages && isComplete) {
                val from = listed.lastOrNull()?.let { "from=${it.id}&" }.orEmpty()
                val body = get("/rentals?${from}limit=${CloudCodec.MAX_LISTED}")
                if (body == null) {
                    isComplete = false
                } else {
                    val (page, hasMore) = CloudCodec.decodeList(body)
                    listed.addAll(page)
                    hasMorePages = hasMore && page.isNotEmpty()
                }
            }
            if (isComplete) listed else null
        }

    private suspend fun get(path: String): Map<String, Any?>? {
        val result = http.call(address, HttpMethod.GET, path, null, timeoutMs)
        return if (result is CallResult.Answered && result.status == 200) result.body else null
    }

    private fun <T> launch(
        done: (T) -> Unit,
        malformed: T,
        call: suspend () -> T,
    ) {
        scope.launch {
            val outcome =
                try {
                    call()
                } catch (_: InvalidField) {
                    // A malformed answer counts as none.
                    malformed
                }
            runOnEventLoop { done(outcome) }
        }
    }
}
