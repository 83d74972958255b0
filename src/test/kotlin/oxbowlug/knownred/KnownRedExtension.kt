package oxbowlug.knownred

import org.junit.jupiter.api.extension.ExtensionContext
import org.junit.jupiter.api.extension.InvocationInterceptor
import org.junit.jupiter.api.extension.ReflectiveInvocationContext
import java.io.File
import java.lang.reflect.Method

/** Applies `KNOWN-RED.txt` in the project's root to every test. JUnit loads this extension by `META-INF/services`. */
internal class KnownRedExtension : InvocationInterceptor {
    override fun interceptTestMethod(
        invocation: InvocationInterceptor.Invocation<Void?>,
        invocationContext: ReflectiveInvocationContext<Method>,
        extensionContext: ExtensionContext,
    ) = list.run(nameOf(invocationContext.executable)) { invocation.proceed() }

    companion object {
        val list: KnownRedList by lazy {
            val file = File(KnownRedList.FILE)
            KnownRedList.parse(if (file.exists()) file.readText() else "").also { it.printScripts() }
        }

        fun nameOf(method: Method): String = "${method.declaringClass.name}#${method.name}"
    }
}
