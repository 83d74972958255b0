package oxbowlug.cluster

/** How the cloud proved that a machine is gone: proofs 2 and 3 of docs/safety.md. Logs have the name in lower case. */
internal enum class RemovalReason {
    RELEASED,
    FAILED,
    NOT_LISTED,
    ;

    override fun toString(): String = name.lowercase()
}
