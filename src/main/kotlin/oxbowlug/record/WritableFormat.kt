package oxbowlug.record

import oxbowlug.wire.InvalidField

/** The layout that this controller may write, according to the format marker in the state service. */
internal enum class WritableFormat {
    /** No marker is set, or it names this layout: some controller may still read only single values. */
    SINGLE_VALUE,

    /** All controllers read heads and parts ([RecordLayout]). */
    HEAD_AND_PARTS,

    /** The marker is from a newer software version or malformed. Nothing is written, since it might be misread. */
    NONE,
    ;

    companion object {
        /** [value] is the value of [Keys.FORMAT_MARKER], or null if the key is absent. */
        fun ofMarker(value: Map<String, Any?>?): WritableFormat {
            if (value == null) return SINGLE_VALUE
            val format =
                try {
                    DataFormat.decode(value)
                } catch (_: InvalidField) {
                    return NONE
                }
            return when (format) {
                DataFormat.SINGLE_VALUE -> SINGLE_VALUE
                DataFormat.HEAD_AND_PARTS -> HEAD_AND_PARTS
                else -> NONE
            }
        }
    }
}
