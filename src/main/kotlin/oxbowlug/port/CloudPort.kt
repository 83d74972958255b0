package oxbowlug.port

import oxbowlug.wire.ListedMachine
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.RentalRequest

/** What became of a call to rent machines. */
internal sealed interface RentalOutcome {
    /** Rented: the ids of the new machines. */
    data class Rented(
        val machines: List<MachineId>,
    ) : RentalOutcome

    /** The provider has none of this kind now. */
    data object NoCapacity : RentalOutcome

    /** Surely not executed: 429 or an outage. */
    data object Refused : RentalOutcome

    /** No answer, or a malformed one: executed, or not, or later. What it rented is found by [CloudPort.list]. */
    data object Unanswered : RentalOutcome
}

/**
 * The provider that machines are rented from. Threading, as of all ports: a call is made on the event loop that owns
 * the controller's state and returns at once; its outcome comes back as an event on the controller's queue, so that
 * `done` runs on that event loop. A failure outside is an outcome, never an exception. Callers keep within the
 * provider's limit of calls by a token bucket of their own.
 */
internal interface CloudPort {
    /** All machine types with their prices, or null when the call failed. */
    fun types(done: (List<MachineType>?) -> Unit)

    /** Not idempotent: a call that is [RentalOutcome.Unanswered] must not simply be repeated. */
    fun rent(
        request: RentalRequest,
        done: (RentalOutcome) -> Unit,
    )

    /**
     * Ends the rental of [machines], of which there are at most [oxbowlug.wire.CloudCodec.MAX_RELEASED]. May be
     * repeated. [done] gets true when the provider confirmed it; false says nothing: it may be executed, or not, or
     * later.
     */
    fun releaseMachines(
        machines: List<MachineId>,
        done: (Boolean) -> Unit,
    )

    /** All rented machines, read page by page, or null when any page failed: a part proves no machine absent. */
    fun list(done: (List<ListedMachine>?) -> Unit)
}
