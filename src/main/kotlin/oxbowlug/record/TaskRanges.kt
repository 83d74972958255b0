package oxbowlug.record

import java.util.BitSet

/** Encodes sets of task numbers as text, such as `0-3,7`. */
internal object TaskRanges {
    /** Upper bound on the encoded length of one range with its comma. */
    const val MAX_RANGE_BYTES = 14

    fun encode(set: BitSet): String =
        buildString {
            var from = set.nextSetBit(0)
            while (from >= 0) {
                val end = set.nextClearBit(from)
                if (isNotEmpty()) append(',')
                append(from)
                if (end - 1 > from) append('-').append(end - 1)
                from = set.nextSetBit(end)
            }
        }

    fun decode(text: String): BitSet {
        val set = BitSet()
        if (text.isEmpty()) return set
        for (range in text.split(',')) {
            val dash = range.indexOf('-')
            if (dash < 0) {
                set.set(range.toInt())
            } else {
                set.set(range.substring(0, dash).toInt(), range.substring(dash + 1).toInt() + 1)
            }
        }
        return set
    }

    /** Upper bound on the length of the text that [encode] returns. */
    fun maxEncodedBytes(set: BitSet): Int = rangeCount(set) * MAX_RANGE_BYTES

    /** Number of ranges in the text that [encode] returns. */
    fun rangeCount(set: BitSet): Int {
        var ranges = 0
        var from = set.nextSetBit(0)
        while (from >= 0) {
            ranges++
            from = set.nextSetBit(set.nextClearBit(from))
        }
        return ranges
    }
}
