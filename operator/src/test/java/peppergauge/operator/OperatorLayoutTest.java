package peppergauge.operator;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/** The reader stands alone: neither the sidecar nor the lab, and no sockets. */
public class OperatorLayoutTest {

    private final JavaClasses reader = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("peppergauge");

    @Test
    public void theReaderNeedsTheTomlLibraryAndNothingElse() {
        classes()
                .should()
                .resideInAPackage("peppergauge.operator")
                .andShould()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "java.lang..",
                        "java.io",
                        "java.math",
                        "java.nio..",
                        "java.time..",
                        "java.util..",
                        "org.tomlj",
                        "peppergauge.operator")
                .check(reader);
    }
}
