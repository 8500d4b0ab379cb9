package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.testng.ITestResult;
import org.testng.TestListenerAdapter;
import org.testng.TestNG;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs {@link HttpRulesSocketTest} in sidecars with misbehaving plug-ins, which must not change the results. */
public class SocketRulesWithPluginsTest {

    /** All misbehaving plug-ins; {@code -Dhostile=NAME} selects one of them, or {@code none}. */
    @DataProvider
    public Object[][] plugins() {
        String name = System.getProperty("hostile", "all");
        return new Object[][] {
            {
                name,
                "all".equals(name)
                        ? MisbehavingPluginExtensions.all()
                        : "none".equals(name)
                                ? SidecarFixture.extensionSupplier
                                : MisbehavingPluginExtensions.single(name)
            }
        };
    }

    @Test(dataProvider = "plugins")
    public void passesSocketRulesWithPlugins(String name, Supplier<SidecarExtension> extension) {
        SidecarFixture.extensionSupplier = extension;
        assertEquals(failedTests().toString(), "[]", "failed tests with plug-in " + name);
    }

    private static Set<String> failedTests() {
        TestNG suite = new TestNG(false);
        TestListenerAdapter results = new TestListenerAdapter();
        suite.setTestClasses(new Class<?>[] {HttpRulesSocketTest.class});
        suite.addListener(results);
        suite.setVerbose(0);
        suite.run();
        results.getFailedTests().forEach(failed -> System.out.println(describe(failed) + ": " + failed.getThrowable()));
        assertTrue(
                results.getPassedTests().size() > 60,
                "expected more than 60 passed tests but was "
                        + results.getPassedTests().size());
        return results.getFailedTests().stream()
                .map(SocketRulesWithPluginsTest::describe)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static String describe(ITestResult result) {
        return result.getName() + " " + result.getMethod().getParameterInvocationCount() + " "
                + Arrays.toString(result.getParameters()).replaceAll("\\s+|Lambda.*?@\\w+|0x\\w+", " ");
    }

    @AfterMethod
    public void removeExtension() {
        SidecarFixture.extensionSupplier = () -> SidecarExtension.NONE;
    }
}
