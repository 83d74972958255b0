package oxbowlug.record

import oxbowlug.wire.fields

/**
 * Versions of the layout of stored data. While controllers of different software versions run side by side, they may
 * write only what the oldest of them can read and preserves when it writes. The committed marker [Keys.FORMAT_MARKER]
 * states that all controllers read the newer layout.
 */
internal object DataFormat {
    /** Each job is stored in a single value and has no predecessors. */
    const val SINGLE_VALUE = 1L

    /** A job is stored as a head and parts ([RecordLayout]) and may have predecessors. */
    const val HEAD_AND_PARTS = 2L

    /** The newest layout that this software version reads and writes. */
    const val NEWEST = HEAD_AND_PARTS

    private const val FIELD = "format"

    fun encode(format: Long): Map<String, Any?> = mapOf(FIELD to format)

    fun decode(value: Map<String, Any?>): Long = value.fields().count(FIELD, min = SINGLE_VALUE)
}
