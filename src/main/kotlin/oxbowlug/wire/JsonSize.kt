package oxbowlug.wire

/**
 * An upper bound of a value's size as JSON, the form in which the state service counts its limits: with a space after
 * each separator, and with whatever isn't plain ASCII escaped.
 */
fun Any?.sizeAsJson(): Int =
    when (this) {
        null -> 4
        is Boolean -> 5
        is String -> 2 + sumOf { character -> escapedSize(character) }
        is Double -> toString().length
        is Number -> toString().length
        is Map<*, *> ->
            2 +
                entries.sumOf { (key, value) -> key.toString().sizeAsJson() + value.sizeAsJson() + SEPARATORS }
        is Collection<*> -> 2 + sumOf { item -> item.sizeAsJson() + 2 }
        else -> throw IllegalArgumentException("no JSON for ${javaClass.name}")
    }

private fun escapedSize(character: Char): Int =
    when (character) {
        '"', '\\' -> 2
        in ' '..'~' -> 1
        else -> 6
    }

private const val SEPARATORS = 4
