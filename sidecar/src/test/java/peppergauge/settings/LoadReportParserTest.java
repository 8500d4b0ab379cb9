package peppergauge.settings;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.LoadField;

public class LoadReportParserTest {

    private static final double NONE = Double.NaN;
    private static final List<LoadField> FIELDS = List.of(LoadField.IN_FLIGHT, LoadField.QUEUED, LoadField.LATENCY_MS);

    @DataProvider
    public Object[][] reports() {
        return new Object[][] {
            {"inflight=7,queue=2,latency_ms=61.5", new double[] {7, 2, 61.5}},
            {"active=7,waiting=2,avg_ms=61.5", new double[] {7, 2, 61.5}},
            {" latency_ms = 3 , inflight=0", new double[] {0, NONE, 3}},
            {"inflight=7,util=0.6,unknown=1", new double[] {7, NONE, NONE}},
            {"inflight=x,queue=-1,latency_ms=1e999", null},
            {"inflight=0,queue=4,latency_ms=\u00ff", null},
            {"inflight=0,queue=4,", null},
            {"inflight=0,queue", null},
            {"inflight=99999999999", null},
            {"inflight=NaN", null},
            {"inflight", null},
            {"=,=,,", null},
            {"", null},
            {null, null},
        };
    }

    @Test(dataProvider = "reports")
    public void readsFieldsByNameAndRejectsMalformedReports(String text, double[] expected) {
        assertEquals(LoadReportParser.parse(text, FIELDS), expected);
    }
}
