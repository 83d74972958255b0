package oxbowlug.architecture

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File

/** Checks the package rules of docs/architecture.md on the compiled classes and the source files. */
class PackageGraphTest {
    private val classes: JavaClasses =
        ClassFileImporter()
            .withImportOption(ImportOption.DoNotIncludeTests())
            .importPackages(ROOT)

    private val sources = File("src/main/kotlin").walk().filter { it.extension == "kt" }.toList()

    @Test
    fun `package dependencies have no cycles`() {
        assertTrue(classes.size > MIN_CLASSES, "only ${classes.size} classes were found")
        slices()
            .matching("$ROOT.(**)")
            .should()
            .beFreeOfCycles()
            .check(classes)
    }

    @Test
    fun `the core packages do no input or output`() {
        noClasses()
            .that()
            .resideInAnyPackage(*CORE_PACKAGES.map { "$ROOT.$it.." }.toTypedArray())
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.vertx..", "okio..", "java.net..", "java.nio..", "kotlinx.coroutines..")
            .check(classes)
    }

    @Test
    fun `the planner depends on no core package but its own and resource`() {
        noClasses()
            .that()
            .resideInAPackage("$ROOT.plan..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(*(CORE_PACKAGES - PLANNER_DEPENDENCIES).map { "$ROOT.$it.." }.toTypedArray())
            .check(classes)
    }

    @Test
    fun `no package has more than 15 files and no file more than 300 lines`() {
        assertTrue(sources.size > MIN_FILES, "only ${sources.size} files were found")
        val large = sources.groupBy { it.parent }.filterValues { it.size > MAX_FILES_IN_PACKAGE }.keys
        val long = sources.filter { it.readLines().size > MAX_LINES }.map { it.name }
        assertEquals(emptySet<String>(), large)
        assertEquals(emptyList<String>(), long)
    }

    private companion object {
        const val ROOT = "oxbowlug"
        const val MIN_CLASSES = 200
        const val MIN_FILES = 80
        const val MAX_FILES_IN_PACKAGE = 15
        const val MAX_LINES = 300

        /** The core packages: they hold state and make decisions, with all input and output through ports. */
        val CORE_PACKAGES =
            setOf(
                "cache",
                "cancellation",
                "cluster",
                "commit",
                "controller",
                "election",
                "fencing",
                "forecast",
                "invariant",
                "leader",
                "lease",
                "membership",
                "plan",
                "port",
                "record",
                "region",
                "request",
                "resource",
                "scaling",
                "scheduling",
                "timing",
            )
        val PLANNER_DEPENDENCIES = setOf("plan", "resource")
    }
}
