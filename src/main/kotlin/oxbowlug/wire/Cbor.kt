package oxbowlug.wire

import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator
import com.fasterxml.jackson.dataformat.cbor.CBORParser
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.math.BigInteger

/** Thrown for a body that is not CBOR, not a map, or nested too deep. */
class MalformedBody(
    message: String,
) : Exception(message)

/**
 * Converts between CBOR and maps, lists, strings, numbers, booleans and null. It uses Jackson's streaming API without
 * data binding, which would look up classes by reflection when the process starts.
 */
object Cbor {
    private const val MAX_DEPTH = 32
    private val factory = CBORFactory()

    /** Encodes [value], which may hold only maps, lists, strings, numbers, booleans and null. */
    fun encode(value: Map<String, Any?>): ByteArray {
        val out = ByteArrayOutputStream(256)
        factory.createGenerator(out).use { write(it, value) }
        return out.toByteArray()
    }

    /** Decodes [bytes], which must be exactly one map. Throws [MalformedBody] otherwise. */
    fun decode(bytes: ByteArray): Map<String, Any?> {
        try {
            factory.createParser(bytes).use { parser ->
                if (parser.nextToken() != JsonToken.START_OBJECT) throw MalformedBody("the body is not a map")
                val map = readMap(parser, 0)
                if (parser.nextToken() != null) throw MalformedBody("the body has bytes after its map")
                return map
            }
        } catch (e: IOException) {
            throw MalformedBody("the body is not CBOR: ${e.javaClass.simpleName}")
        }
    }

    private fun readMap(
        parser: CBORParser,
        depth: Int,
    ): Map<String, Any?> {
        if (depth > MAX_DEPTH) throw MalformedBody("the body is nested too deep")
        val map = LinkedHashMap<String, Any?>()
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            val name = parser.currentName()
            parser.nextToken()
            map[name] = readValue(parser, depth)
        }
        if (parser.currentToken() != JsonToken.END_OBJECT) throw MalformedBody("a map is not closed")
        return map
    }

    private fun readList(
        parser: CBORParser,
        depth: Int,
    ): List<Any?> {
        if (depth > MAX_DEPTH) throw MalformedBody("the body is nested too deep")
        val list = ArrayList<Any?>()
        while (true) {
            val token = parser.nextToken() ?: throw MalformedBody("a list is not closed")
            if (token == JsonToken.END_ARRAY) return list
            list.add(readValue(parser, depth))
        }
    }

    private fun readValue(
        parser: CBORParser,
        depth: Int,
    ): Any? =
        when (parser.currentToken()) {
            JsonToken.START_OBJECT -> readMap(parser, depth + 1)
            JsonToken.START_ARRAY -> readList(parser, depth + 1)
            JsonToken.VALUE_STRING -> parser.text
            JsonToken.VALUE_NUMBER_INT -> integer(parser)
            JsonToken.VALUE_NUMBER_FLOAT -> parser.doubleValue
            JsonToken.VALUE_TRUE -> true
            JsonToken.VALUE_FALSE -> false
            JsonToken.VALUE_NULL -> null
            else -> throw MalformedBody("the body holds binary or unfinished data")
        }

    /**
     * CBOR integers are below 2^64, but no valid field exceeds 2^63. Larger ones become Double, and fields that require
     * an integer reject them.
     */
    private fun integer(parser: CBORParser): Any =
        when (val number = parser.numberValue) {
            is Int -> number.toLong()
            is Long -> number
            is BigInteger -> number.toDouble()
            else -> number.toDouble()
        }

    private fun write(
        out: CBORGenerator,
        value: Any?,
    ) {
        when (value) {
            null -> out.writeNull()
            is String -> out.writeString(value)
            is Int -> out.writeNumber(value)
            is Long -> out.writeNumber(value)
            is Double -> out.writeNumber(value)
            is Boolean -> out.writeBoolean(value)
            is Map<*, *> -> {
                out.writeStartObject(value, value.size)
                for ((key, item) in value) {
                    out.writeFieldName(key.toString())
                    write(out, item)
                }
                out.writeEndObject()
            }
            is Collection<*> -> {
                out.writeStartArray(value, value.size)
                for (item in value) write(out, item)
                out.writeEndArray()
            }
            else -> throw IllegalArgumentException("cannot encode ${value.javaClass.name}")
        }
    }
}
