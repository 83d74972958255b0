package oxbowlug.port

import oxbowlug.wire.ListedMachine
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.RentalRequest

/**
 * The outcome of a call to rent machines. After [NoCapacity] and [Refused] it is certain that the call was not executed
 * and will not be.
 */
internal sealed interface RentalOutcome {
    /** Rented. [machines] may be fewer than requested. */
    data class Rented(
        val machines: List<MachineId>,
    ) : RentalOutcome

    /** The provider has no capacity for this machine kind now. */
    data object NoCapacity : RentalOutcome

    /** The provider answered 429 or 503, or no connection could be opened. */
    data object Refused : RentalOutcome

    /**
     * No usable answer: the call may have been executed, or may still be executed later. Machines that it rented appear
     * in [CloudPort.list].
     */
    data object Unanswered : RentalOutcome
}

/**
 * The cloud provider that machines are rented from. Threading, here and in all other ports: a call is made on the event
 * loop that owns the controller's state and returns at once; its outcome comes back as an event in the controller's
 * queue, so `done` runs on the same event loop. A failed call is reported as an outcome, never as an exception. Callers
 * stay within the provider's rate limit by a token bucket of their own.
 */
internal interface CloudPort {
    /** Fetches all machine types with their prices. [done] gets null if the call failed. */
    fun types(done: (List<MachineType>?) -> Unit)

    /**
     * Rents machines. Idempotent only by [RentalRequest.name]: after [RentalOutcome.Unanswered] a retry under another
     * name could rent a second time.
     */
    fun rent(
        request: RentalRequest,
        done: (RentalOutcome) -> Unit,
    )

    /**
     * Ends the rental of [machines], at most [oxbowlug.wire.CloudCodec.MAX_RELEASED] a call. Idempotent. [done] gets
     * true if the provider confirmed the release; after false it may have been executed, or may still be executed
     * later.
     */
    fun releaseMachines(
        machines: List<MachineId>,
        done: (Boolean) -> Unit,
    )

    /**
     * Lists all rented machines, page by page. [done] gets null if any page failed, because an incomplete list doesn't
     * prove that a machine is gone.
     */
    fun list(done: (List<ListedMachine>?) -> Unit)
}
