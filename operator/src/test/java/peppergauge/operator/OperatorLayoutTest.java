package peppergauge.operator;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/** Guards the module against dependencies on the sidecar, the lab, or networking. */
public class OperatorLayoutTest {

    private final JavaClasses mainClasses = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("peppergauge");

    @Test
    public void dependsOnlyOnJdkAndTomlLibrary() {
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
                .check(mainClasses);
    }
}
