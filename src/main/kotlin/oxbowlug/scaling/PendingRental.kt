package oxbowlug.scaling

import oxbowlug.wire.RentalRequest

/** A rental that the cloud hasn't answered yet. The planner counts its machines as booting. */
internal class PendingRental(
    val request: RentalRequest,
    val firstRequestedAt: Long,
    var isInFlight: Boolean,
    var nextRequestAt: Long,
)
