package oxbowlug.knownred

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.opentest4j.TestAbortedException

/** Checks which lines `KNOWN-RED.txt` may have, and how the tests that it lists are run. */
internal class KnownRedTest {
    private val printed = ArrayList<String>()
    private val listed = KnownRedList.parse("a.B#c | the cause | issue 1\n", printed::add)

    @Test
    fun `this project's list is valid and names existing tests without parameters`() {
        KnownRedExtension.list.requireAllExist(::isPlainTest)
    }

    /** Parameterized tests can't be listed: one failing case would excuse all cases. */
    private fun isPlainTest(name: String): Boolean =
        try {
            val methods = Class.forName(name.substringBefore('#')).declaredMethods
            methods.any { KnownRedExtension.nameOf(it) == name && it.isAnnotationPresent(Test::class.java) }
        } catch (_: ClassNotFoundException) {
            false
        }

    @Test
    fun `a listed test that fails is run, printed with its cause and skipped`() {
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
    fun `an unlisted test fails or passes as usual`() {
        assertThrows(IllegalStateException::class.java) { listed.run("a.B#d") { error("red") } }
        listed.run("a.B#d") {}
    }

    @Test
    fun `a list that names a missing or a parameterized test is rejected`() {
        assertThrows(KnownRedError::class.java) { listed.requireAllExist(::isPlainTest) }
        val thisClass = KnownRedTest::class.java.name
        KnownRedList.parse("$thisClass#a listed test that passes fails | x | y").requireAllExist(::isPlainTest)
        val parameterized = KnownRedList.parse("$thisClass#a malformed list is rejected | x | y")
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
    fun `a malformed list is rejected`(text: String) {
        assertThrows(KnownRedError::class.java) { KnownRedList.parse(text) }
    }

    @Test
    fun `an empty list and one of three lines are valid`() {
        assertEquals(0, KnownRedList.parse("\n").entries.size)
        assertEquals(3, KnownRedList.parse("a.B#c | x | 1\na.B#d | x | 1\na.B#e | x | 1").entries.size)
    }
}
