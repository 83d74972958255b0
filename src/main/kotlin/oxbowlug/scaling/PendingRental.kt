package oxbowlug.scaling

import oxbowlug.wire.RentalRequest

/** A rental whose answer is awaited: its machines count as coming. */
internal class PendingRental(
    val request: RentalRequest,
    val firstRequestedAt: Long,
    var isRequestInFlight: Boolean,
    var nextRequestAt: Long,
)
