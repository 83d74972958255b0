package oxbowlug.scaling

import oxbowlug.plan.MachineKind
import oxbowlug.wire.RentalRequest

/** A rental that the cloud hasn't answered yet. The planner counts its machines as booting. */
internal class PendingRental(
    val request: RentalRequest,
    /** When the plan asked for it. */
    val firstRequestedAt: Long,
    var nextRequestAt: Long,
) {
    val kind = MachineKind(request.type, request.zone, request.spot)
    var isInFlight = false
        private set

    /** Whether a request was sent: if not, the cloud can't have rented anything for it. */
    var wasSent = false
        private set

    fun onSent() {
        isInFlight = true
        wasSent = true
    }

    fun onAnswered() {
        isInFlight = false
    }
}
