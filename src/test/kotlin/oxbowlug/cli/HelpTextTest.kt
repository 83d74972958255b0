package oxbowlug.cli

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.io.ByteArrayOutputStream
import java.io.PrintStream

internal class HelpTextTest {
    @Test
    fun `the texts of help and version have not changed`() {
        val expected = javaClass.getResource("/production/help.txt")!!.readText()
        val printed = printedBy("--help") + printedBy("--version")
        assertEquals(expected.replace("\r\n", "\n").trimEnd(), printed.replace("\r\n", "\n").trimEnd())
    }

    private fun printedBy(option: String): String {
        val originalOut = System.out
        val bytes = ByteArrayOutputStream()
        System.setOut(PrintStream(bytes, true))
        try {
            main(arrayOf(option))
        } finally {
            System.setOut(originalOut)
        }
        return bytes.toString()
    }
}
