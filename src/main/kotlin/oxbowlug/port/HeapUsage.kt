package oxbowlug.port

/** The heap of this process. */
internal object HeapUsage {
    private const val BYTES_PER_MB = 1 shl 20
    private val runtime = Runtime.getRuntime()

    /** Memory of objects, among them those that the next collection will free. */
    val usedBytes: Long get() = runtime.totalMemory() - runtime.freeMemory()

    /** As [usedBytes], in whole MB. */
    val usedMb: Long get() = usedBytes / BYTES_PER_MB

    /** The largest that the heap may become. */
    val maxBytes: Long get() = runtime.maxMemory()
}
