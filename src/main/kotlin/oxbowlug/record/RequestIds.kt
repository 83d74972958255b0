package oxbowlug.record

/**
 * Generates unique ids for idempotent requests, rentals and writes. The counter runs for the whole incarnation of a
 * controller. A counter per leader term would repeat ids in a second term of the same incarnation, and the cloud would
 * answer a new rental with the machines of an old one of another kind.
 */
internal class RequestIds(
    private val self: Member,
) {
    private var next = 0L

    fun next(): String = "${self.label}-${self.incarnation}-${next++}"
}
