package oxbowlug.port

import oxbowlug.wire.ListedMachine
import oxbowlug.wire.MachineId
import oxbowlug.wire.MachineType
import oxbowlug.wire.RentalRequest

internal sealed interface RentalOutcome {
    data class Rented(
        val machines: List<MachineId>,
    ) : RentalOutcome

    /** The provider has none of this kind now. */
    data object NoCapacity : RentalOutcome

    /** Surely not executed: 429 or an outage. */
    data object Refused : RentalOutcome

    data object Unanswered : RentalOutcome
}

internal interface CloudPort {
    fun types(done: (List<MachineType>?) -> Unit)

    fun rent(
        request: RentalRequest,
        done: (RentalOutcome) -> Unit,
    )

    fun releaseMachines(
        machines: List<MachineId>,
        done: (Boolean) -> Unit,
    )

    /** The whole list, page by page, or null when any page failed. */
    fun list(done: (List<ListedMachine>?) -> Unit)
}
