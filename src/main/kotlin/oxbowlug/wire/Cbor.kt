package oxbowlug.wire

import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator
import com.fasterxml.jackson.dataformat.cbor.CBORParser
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.math.BigInteger

/** A body that is not CBOR, not a map, or nested too deep. */
class MalformedBody(
    message: String,
) : Exception(message)

/**
 * CBOR to and from plain maps, lists, text, numbers, booleans and null, through Jackson's streaming
 * interface: no data binding, so nothing is looked up by reflection when the process starts.
 */
object Cbor {
    private const val MAX_DEPTH = 32
    private val factory = CBORFactory()

    /** [value] holds maps, lists, texts, numbers, booleans and null only. */
    fun encode(value: Map<String, Any?>): ByteArray {
        val out = ByteArrayOutputStream(256)
        factory.createGenerator(out).use { write(it, value) }
        return out.toByteArray()
    }

    /** The map that [bytes] hold. Throws [MalformedBody] for anything else. */
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

    /** Counts stay below 2^64, but no one counts past 2^63 honestly: larger ones are kept as floating point. */
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
