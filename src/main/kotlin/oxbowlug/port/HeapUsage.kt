package oxbowlug.port

/** The heap of this process, in bytes. */
internal object HeapUsage {
    private val runtime = Runtime.getRuntime()

    /** Memory of objects, among them those that the next collection will free. */
    val usedBytes: Long get() = runtime.totalMemory() - runtime.freeMemory()

    /** The largest that the heap may become. */
    val maxBytes: Long get() = runtime.maxMemory()
}
