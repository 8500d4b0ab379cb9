package peppergauge.thrift;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/** The package dependencies described in docs/THRIFT.md. */
public class ThriftLayoutTest {

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("peppergauge");

    @Test
    public void packagesHaveNoCyclesAndFrontendAndBackendAreIndependent() {
        slices().matching("peppergauge.thrift.(*)..").should().beFreeOfCycles().check(all);
        noClasses()
                .that()
                .resideInAPackage("peppergauge.thrift.frontend")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("peppergauge.thrift.backend")
                .check(all);
        noClasses()
                .that()
                .resideInAPackage("peppergauge.thrift.backend")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("peppergauge.thrift.frontend")
                .check(all);
    }

    @Test
    public void thriftAndHttpAreIndependent() {
        noClasses()
                .that()
                .resideInAPackage("peppergauge.thrift..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("peppergauge.frontend", "peppergauge.backend", "peppergauge.http")
                .check(all);
        noClasses()
                .that()
                .resideOutsideOfPackage("peppergauge.thrift..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("peppergauge.thrift..", "org.apache.thrift..")
                .check(all);
    }

    @Test
    public void wireAndMethodPackagesUseNoInputOutputAndNoThreads() {
        classes()
                .that()
                .resideInAPackage("peppergauge.thrift.wire")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "java.lang..",
                        "java.nio..",
                        "java.util",
                        "java.util.stream",
                        "java.util.function",
                        "org.apache.thrift..",
                        "peppergauge.thrift.wire")
                .check(all);
        noClasses()
                .that()
                .resideInAnyPackage("peppergauge.thrift.wire", "peppergauge.thrift.method")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io",
                        "java.net..",
                        "java.util.concurrent..",
                        "org.apache.hc..",
                        "peppergauge.sockets",
                        "peppergauge.log")
                .check(all);
    }
}
