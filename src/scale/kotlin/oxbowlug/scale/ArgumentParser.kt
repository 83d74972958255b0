package oxbowlug.scale

import joptsimple.OptionException
import joptsimple.OptionParser
import joptsimple.OptionSet
import joptsimple.OptionSpec

/** An argument that can't work; the message begins with its name. */
internal class InvalidOption(message: String) : Exception(message)

/** Reads and checks the arguments of a run; [introduction] stands before the list of options. */
internal abstract class ArgumentParser<T>(private val introduction: String) {
    protected val parser = OptionParser()
    private val help = parser.accepts("help", "show this help and end").forHelp()

    protected fun intOption(name: String, description: String, default: Int): OptionSpec<Int> =
        parser.accepts(name, description).withRequiredArg().ofType(Int::class.javaObjectType).defaultsTo(default)

    protected fun doubleOption(name: String, description: String, default: Double): OptionSpec<Double> =
        parser.accepts(name, description).withRequiredArg().ofType(Double::class.javaObjectType).defaultsTo(default)

    /** Null when only the help was asked for, which is then printed. Throws [InvalidOption]. */
    fun parse(arguments: List<String>): T? {
        val parsed = rethrowingAsInvalidOption { parser.parse(*arguments.toTypedArray()) }
        if (parsed.has(help)) {
            println("$introduction\n")
            parser.printHelpOn(System.out)
            return null
        }
        parsed.nonOptionArguments().firstOrNull()?.let { throw InvalidOption("$it: is not an option") }
        // Values are converted only when they are asked for.
        return rethrowingAsInvalidOption { read(parsed) }.also(::check)
    }

    protected abstract fun read(parsed: OptionSet): T

    protected abstract fun check(options: T)

    protected fun require(option: String, isValid: Boolean, problem: String) {
        if (!isValid) throw InvalidOption("$option: $problem")
    }

    private fun <R> rethrowingAsInvalidOption(action: () -> R): R = try {
        action()
    } catch (e: OptionException) {
        throw InvalidOption(e.message.orEmpty())
    }
}
