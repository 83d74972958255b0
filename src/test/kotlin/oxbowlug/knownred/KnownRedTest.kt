package oxbowlug.knownred

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.opentest4j.TestAbortedException

/** What `KNOWN-RED.txt` may hold, and what becomes of the tests that it names. */
internal class KnownRedTest {
    private val printed = ArrayList<String>()
    private val listed = KnownRedList.parse("a.B#c | the cause | issue 1\n", printed::add)

    @Test
    fun `the list of this project is valid and names plain tests that exist`() {
        KnownRedExtension.list.requireAllExist(::isPlainTest)
    }

    /** A parameterized test isn't one: a single failing case would excuse all of them. */
    private fun isPlainTest(name: String): Boolean =
        try {
            val methods = Class.forName(name.substringBefore('#')).declaredMethods
            methods.any { KnownRedExtension.nameOf(it) == name && it.isAnnotationPresent(Test::class.java) }
        } catch (_: ClassNotFoundException) {
            false
        }

    @Test
    fun `a listed test that fails is run, printed with its cause and passed over`() {
        var ran = false
        val aborted =
            assertThrows(TestAbortedException::class.java) {
                listed.run("a.B#c") {
                    ran = true
                    throw AssertionError("red")
                }
            }
        assertTrue(ran)
        assertEquals(listOf("KNOWN RED a.B#c: the cause (issue 1): red"), printed)
        assertEquals(printed.single(), aborted.message)
    }

    @Test
    fun `a listed test that passes fails`() {
        assertThrows(KnownRedError::class.java) { listed.run("a.B#c") {} }
    }

    @Test
    fun `a listed test that skips itself fails`() {
        assertThrows(KnownRedError::class.java) { listed.run("a.B#c") { throw TestAbortedException("not here") } }
    }

    @Test
    fun `any other test fails as ever`() {
        assertThrows(IllegalStateException::class.java) { listed.run("a.B#d") { error("red") } }
        listed.run("a.B#d") {}
    }

    @Test
    fun `a test that doesn't exist, or is a parameterized one, is refused`() {
        assertThrows(KnownRedError::class.java) { listed.requireAllExist(::isPlainTest) }
        val here = KnownRedTest::class.java.name
        KnownRedList.parse("$here#a listed test that passes fails | x | y").requireAllExist(::isPlainTest)
        val parameterized = KnownRedList.parse("$here#a malformed list is refused | x | y")
        assertThrows(KnownRedError::class.java) { parameterized.requireAllExist(::isPlainTest) }
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "a.B#c | the cause",
            "a.B#c | | issue 1",
            "a.B#c | the cause | issue 1 | more",
            "a.B#c",
            "a.B#c | x | 1\na.B#c | y | 1",
            "a.B#c | x | 1\na.B#d | x | 1\na.B#e | x | 1\na.B#f | x | 1",
        ],
    )
    fun `a malformed list is refused`(text: String) {
        assertThrows(KnownRedError::class.java) { KnownRedList.parse(text) }
    }

    @Test
    fun `three lines and an empty list are taken`() {
        assertEquals(0, KnownRedList.parse("\n").entries.size)
        assertEquals(3, KnownRedList.parse("a.B#c | x | 1\na.B#d | x | 1\na.B#e | x | 1").entries.size)
    }
}
