package oxbowlug.knownred

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.opentest4j.TestAbortedException
import java.io.File

/** Checks which lines `KNOWN-RED.txt` may have, and how the tests that it lists are run. */
internal class KnownRedTest {
    private val printed = ArrayList<String>()
    private val listed = KnownRedList.parse("a.B#c | mvn test, seed 7 | what was seen | issue 1\n", printed::add)

    @Test
    fun `this project's list is valid and names existing scripts and tests without parameters`() {
        KnownRedExtension.list.requireAllExist(::isPlainTest, ::isScriptHere)
    }

    private fun isScriptHere(path: String): Boolean = File(path).canExecute()

    /** Parameterized tests can't be listed: one failing case would excuse all cases. */
    private fun isPlainTest(name: String): Boolean =
        try {
            val methods = Class.forName(name.substringBefore('#')).declaredMethods
            methods.any { KnownRedExtension.nameOf(it) == name && it.isAnnotationPresent(Test::class.java) }
        } catch (_: ClassNotFoundException) {
            false
        }

    @Test
    fun `a listed test that fails is run, printed with what was seen and skipped`() {
        var ran = false
        val aborted =
            assertThrows(TestAbortedException::class.java) {
                listed.run("a.B#c") {
                    ran = true
                    throw AssertionError("red")
                }
            }
        assertTrue(ran)
        assertEquals(listOf("KNOWN RED a.B#c: what was seen (issue 1): red"), printed)
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
        requireMissing(listed)
        val thisClass = KnownRedTest::class.java.name
        KnownRedList
            .parse("$thisClass#a listed test that passes fails | x | y | z")
            .requireAllExist(::isPlainTest, ::isScriptHere)
        requireMissing(KnownRedList.parse("$thisClass#a malformed list is rejected | x | y | z"))
    }

    private fun requireMissing(list: KnownRedList) {
        assertThrows(KnownRedError::class.java) { list.requireAllExist(::isPlainTest, ::isScriptHere) }
    }

    @Test
    fun `a listed script has to exist under its full path and is printed but not run`() {
        val list = KnownRedList.parse("review/7/run.sh | review/7/run.sh, no seed | ends | issue 1", printed::add)
        val paths = ArrayList<String>()
        list.requireAllExist({ error("$it is no method") }, paths::add)
        assertEquals(listOf("review/7/run.sh"), paths)
        list.printScripts()
        assertEquals(listOf("KNOWN RED review/7/run.sh, not run: ends (issue 1)"), printed)
        requireMissing(KnownRedList.parse("review/0/run.sh | x | y | z"))
    }

    @ParameterizedTest
    @ValueSource(
        strings = ["review/2", "review/2/Case2.java", "review/2/run.sh extra", "./review/2/run.sh", ".ci/run"],
    )
    fun `a file that is no review script counts as a method that does not exist`(path: String) {
        requireMissing(KnownRedList.parse("$path | x | y | z"))
    }

    @Test
    fun `only methods are excused, never a script's name`() {
        val list = KnownRedList.parse("review/2/run.sh | x | y | z", printed::add)
        assertThrows(IllegalStateException::class.java) { list.run("a.B#c") { error("red") } }
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "a.B#c | the command | seen",
            "a.B#c | the command | | issue 1",
            "a.B#c | | seen | issue 1",
            "a.B#c | the command | seen | issue 1 | more",
            "a.B#c",
            "a.B#c | x | y | 1\na.B#c | x | z | 1",
            "review/1/run.sh | x | y | 1\nreview/1/run.sh | x | z | 1",
            "a.B#c | x | y | 1\na.B#d | x | y | 1\na.B#e | x | y | 1\nreview/1/run.sh | x | y | 1",
        ],
    )
    fun `a malformed list is rejected`(text: String) {
        assertThrows(KnownRedError::class.java) { KnownRedList.parse(text) }
    }

    @Test
    fun `an empty list and one of three lines are valid`() {
        assertEquals(0, KnownRedList.parse("\n").entries.size)
        assertEquals(3, KnownRedList.parse("a.B#c | x | y | 1\na.B#d | x | y | 1\na.B#e | x | y | 1").entries.size)
    }
}
