package oxbowlug.record

/**
 * Ids of idempotent requests, rentals and writes, none of which is ever used twice. They are counted for the whole
 * incarnation: counted by a leader's term, a second term of the same incarnation would repeat them, and the cloud
 * would answer a new rental with the machines of an old one of another kind.
 */
internal class RequestIds(
    private val self: Member,
) {
    private var next = 0L

    fun next(): String = "${self.label}-${self.incarnation}-${next++}"
}
