package peppergauge.lab.play;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.files.OperatorFileKinds;
import peppergauge.lab.play.ServerModel.Work;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ServerGroup;

/** Tests the modelled server in virtual time. */
public class ServerModelTest {

    /** Virtual time, which runs tasks in the order of their times. */
    private static final class Clock implements Timers {

        private record Task(double atMs, int number, Runnable run) {}

        private final PriorityQueue<Task> tasks = new PriorityQueue<>(
                (a, b) -> a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Integer.compare(a.number, b.number));
        private double now;
        private int count;

        @Override
        public double nowMs() {
            return now;
        }

        @Override
        public void after(double ms, Runnable task) {
            tasks.add(new Task(now + ms, count++, task));
        }

        void run() {
            for (Task task = tasks.poll(); task != null; task = tasks.poll()) {
                now = task.atMs;
                task.run.run();
            }
        }
    }

    /** Two cores of standard speed, each with two slots and room for one waiting request. */
    private static ServerGroup kind(String more) {
        String text = "kind = \"scenario\"\n[run]\nlength = \"1 s\"\n[network]\n[[servers]]\nname = \"s\"\ncount = 1\n"
                + "speed-spread = 0\nslots = 2\nroom = 1\n" + more + "\n[[class]]\nname = \"c\"\nwork = \"10 ms\"\n"
                + "aim = \"1 s\"\ndeadline = \"1 s\"\n[clients]\nrate = 1\n[sidecars]\n";
        return Scenario.read(
                        OperatorFileKinds.all().read("s.toml", text).values().orElseThrow())
                .servers()
                .get(0);
    }

    private interface Script {
        void play(Clock clock, ServerModel model, List<String> ends);
    }

    private static void arrive(
            Clock clock, ServerModel model, List<String> ends, double workMs, int key, double expiresMs) {
        int number = ends.size();
        ends.add("");
        model.arrive(new Work(
                workMs,
                key,
                expiresMs,
                () -> {},
                end -> ends.set(number, end + "@" + Math.round(clock.now * 10) / 10.0)));
    }

    private static Script arrivals(double... workMs) {
        return (clock, model, ends) -> {
            for (double work : workMs) {
                arrive(clock, model, ends, work, 0, 1e9);
            }
        };
    }

    @DataProvider
    public Object[][] scripts() {
        Script cold = (clock, model, ends) -> {
            model.start();
            arrive(clock, model, ends, 100, 0, 1e9);
        };
        Script pause = (clock, model, ends) -> {
            arrive(clock, model, ends, 100, 0, 1e9);
            clock.after(50, () -> model.pause(30));
        };
        Script slow = (clock, model, ends) -> {
            arrive(clock, model, ends, 100, 0, 1e9);
            clock.after(50, () -> model.slow(2));
        };
        Script key = (clock, model, ends) -> {
            arrive(clock, model, ends, 100, 7, 1e9);
            clock.after(200, () -> arrive(clock, model, ends, 100, 7, 1e9));
        };
        Script expired = (clock, model, ends) -> {
            arrivals(100, 100, 100, 100).play(clock, model, ends);
            arrive(clock, model, ends, 100, 0, 150);
        };
        Script dies = (clock, model, ends) -> {
            arrive(clock, model, ends, 100, 0, 1e9);
            clock.after(50, model::end);
        };
        return new Object[][] {
            {"", arrivals(100), "[SERVED@100.0]"},
            {"", arrivals(100, 100), "[SERVED@100.0, SERVED@100.0]"},
            // Four requests share two cores, the fifth and sixth wait, and the seventh is rejected.
            {
                "",
                arrivals(100, 100, 100, 100, 100, 50, 9),
                "[SERVED@200.0, SERVED@200.0, SERVED@200.0, SERVED@200.0,"
                        + " SERVED@300.0, SERVED@250.0, REJECTED@0.0]"
            },
            {"speed = 2", arrivals(100), "[SERVED@50.0]"},
            {"errors = 1", arrivals(100), "[ERROR@0.5]"},
            // Half the capacity at first, recomputed every 50 ms: 25 ms + 37.5 ms of work, the rest at full capacity.
            {"cold-from = 0.5\ncold-time = \"100 ms\"", cold, "[SERVED@137.5]"},
            {"", pause, "[SERVED@130.0]"},
            {"", slow, "[SERVED@150.0]"},
            {"memory-keys = 5", key, "[SERVED@100.0, SERVED@260.0]"},
            {"drops-expired = true", expired, "[SERVED@200.0, SERVED@200.0, SERVED@200.0, SERVED@200.0, REJECTED@200.0]"
            },
            {"", dies, "[]"},
        };
    }

    @Test(dataProvider = "scripts")
    public void endsRequestsAtExpectedTimes(String figures, Script script, String ends) {
        Clock clock = new Clock();
        ServerModel model = new ServerModel(clock, kind(figures), new SplittableRandom(1));
        List<String> seen = new ArrayList<>();
        script.play(clock, model, seen);
        clock.run();
        assertEquals(seen.toString(), ends);
        assertEquals(model.report().replaceAll(",latency.*", ""), "inflight=0,queue=0");
    }
}
