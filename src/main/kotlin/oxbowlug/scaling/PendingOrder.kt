package oxbowlug.scaling

import oxbowlug.wire.RentalRequest

/** A rental whose answer is awaited: its machines count as coming. */
internal class PendingOrder(
    val request: RentalRequest,
    val orderedAt: Long,
    var isRequestInFlight: Boolean,
    var nextRequestAt: Long,
)
