package oxbowlug.record

/**
 * Names for rentals and writes, none of which is ever used twice. They are counted for the whole life of the process:
 * counted by a leader's term, a second term of the same life would repeat them, and the cloud would answer a new
 * rental with the machines of an old one of another kind.
 */
internal class RequestIds(
    private val self: Member,
) {
    private var next = 0L

    fun next(): String = "${self.label}-${self.incarnation}-${next++}"
}
