package peppergauge.snapshot;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

public class SnapshotLayoutTest {

    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("peppergauge");

    @Test
    public void packagesHaveNoCycles() {
        slices().matching("peppergauge.snapshot.(*)").should().beFreeOfCycles().check(all);
        noClasses()
                .that()
                .resideInAPackage("peppergauge.snapshot.*")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("peppergauge.snapshot")
                .check(all);
    }

    @Test
    public void formatAndRestorePackagesHaveNoIoThreadsOrClock() {
        classes()
                .that()
                .resideInAnyPackage("peppergauge.snapshot.format", "peppergauge.snapshot.restore")
                .should()
                .onlyDependOnClassesThat(resideInAnyPackage(
                                "java.lang..",
                                "java.util",
                                "java.util.function",
                                "java.util.zip",
                                "java.nio",
                                "java.nio.charset",
                                "peppergauge.decision",
                                "peppergauge.snapshot.format",
                                "peppergauge.snapshot.restore",
                                "com.fasterxml.jackson..")
                        .or(resideInAPackage("java.io")))
                .check(all);
        noClasses()
                .that()
                .resideInAnyPackage("peppergauge.snapshot.format", "peppergauge.snapshot.restore")
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(
                        System.class,
                        Thread.class,
                        java.io.File.class,
                        java.io.FileInputStream.class,
                        java.io.FileOutputStream.class)
                .check(all);
    }

    @Test
    public void onlyStoragePackageAccessesFiles() {
        noClasses()
                .that()
                .resideInAPackage("peppergauge.snapshot..")
                .and()
                .resideOutsideOfPackage("peppergauge.snapshot.storage")
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(java.nio.file.Files.class, java.nio.channels.FileChannel.class, java.io.File.class)
                .check(all);
    }
}
