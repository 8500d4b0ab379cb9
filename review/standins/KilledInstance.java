import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Case: the platform kills an instance and creates it anew in the batch in which a request has reached it. This
 * stand-in is the platform (the simulator's side of the wire), the clients and the episode servers.
 */
final class KilledInstance {

    private static final int INSTANCES = 3;
    private static final int HOSTS = 6;
    private static final double RUN_MS = 12_000;
    private static final double BATCH_MS = 10;
    /** An instance is killed once a second, in turn. */
    private static final double KILL_EVERY_MS = 1_000;
    private static final double WORK_MS = 25;
    /** A client repeats what a killed instance held. */
    private static final double REPEAT_AFTER_MS = 50;
    /** Place of the class donation, which is at_most_once, in the settings. */
    private static final int DONATION = 2;

    private static final Pattern GROUP = Pattern.compile("\\{\"who\":\"([^\"]+)\",\"decisions\":\\[(.*?)\\]\\}");
    private static final Pattern ACTION = Pattern.compile("\\{\"op\":\"(\\w+)\"([^}]*)\\}");

    /** A client's further try, which has a new id. */
    private record Repeat(double atMs, int donation) {}

    /** What the platform knows of one instance since its last Create. */
    private static final class Instance {
        final String name;
        final List<String> events = new ArrayList<>();
        final Set<String> received = new HashSet<>();
        final Map<String, Integer> legs = new HashMap<>();
        final TreeMap<Double, List<String>> due = new TreeMap<>();

        Instance(String name) {
            this.name = name;
        }

        void forget() {
            received.clear();
            legs.clear();
            due.clear();
        }
    }

    private static final Map<String, Instance> instances = new TreeMap<>();
    /** The donation that a request is for: a repeat has a new id and is for the same one. */
    private static final Map<String, Integer> donations = new HashMap<>();
    private static final Map<Integer, Integer> runs = new HashMap<>();
    private static final Set<String> ended = new HashSet<>();
    /** Donations that were sent for an instance that had been killed. */
    private static final Set<Integer> staleDonations = new HashSet<>();
    private static long ids;
    private static int stale;
    private static int answered;

    public static void main(String[] args) throws Exception {
        Kit.open(Path.of(args[1]));
        Process adapter = Kit.startAdapter(Path.of(args[0]), Path.of(args[2]));
        OutputStream out = adapter.getOutputStream();
        BufferedReader in = new BufferedReader(new InputStreamReader(adapter.getInputStream(), StandardCharsets.UTF_8));
        for (int i = 0; i < INSTANCES; i++) {
            Instance instance = new Instance("proxy-" + i);
            instances.put(instance.name, instance);
            if (i == 0) {
                instance.events.add(list());
            }
            create(instance, i);
        }
        List<Repeat> repeats = new ArrayList<>();
        double start = Kit.ms();
        double nextKill = start + KILL_EVERY_MS;
        int donation = 0;
        int kills = 0;
        long batch = 0;
        while (Kit.ms() < start + RUN_MS + 1_000) {
            double now = Kit.ms();
            // Requests end a second before the run does, so that each can get its answer.
            for (int i = 0; i < INSTANCES && now < start + RUN_MS && batch > 0; i++) {
                Instance instance = instances.get("proxy-" + i);
                boolean kill = now >= nextKill && kills % INSTANCES == i;
                if (kill || batch % INSTANCES == i) {
                    int number = ++donation;
                    String id = arrive(instance, number);
                    if (kill) {
                        nextKill += KILL_EVERY_MS;
                        kills++;
                        if (Kit.TROUBLE) {
                            Kit.log("killed_and_created", "instance", instance.name, "holding", id, "donation", number);
                            for (String held : instance.received) {
                                if (ended.add(held)) {
                                    repeats.add(new Repeat(now + REPEAT_AFTER_MS, donations.get(held)));
                                }
                            }
                            instance.events.add("{\"op\":\"Retire\"}");
                            create(instance, i);
                        }
                    }
                }
            }
            for (Repeat repeat : List.copyOf(repeats)) {
                if (repeat.atMs() <= now) {
                    repeats.remove(repeat);
                    arrive(instances.get("proxy-" + repeat.donation() % INSTANCES), repeat.donation());
                }
            }
            exchange(out, in, ++batch, now);
            Kit.sleep(BATCH_MS);
        }
        out.close();
        long twice = staleDonations.stream().filter(sent -> runs.get(sent) > 1).count();
        long unanswered = donations.keySet().stream().filter(id -> !ended.contains(id)).count();
        String text = "instances killed and created in one batch " + (Kit.TROUBLE ? kills : 0) + ", actions for requests not received since "
                + stale + ", donations run by these and by the client's repeat " + twice + "; requests answered " + answered + " of " + donations.size()
                + ", open " + unanswered;
        if (answered < 100) {
            Kit.exit(2, "too little was answered: " + text);
        }
        Kit.exit(stale > 0 ? 1 : 0, text);
    }

    /** Starts an instance with nothing; the list comes next, as it was last held. */
    private static void create(Instance instance, int number) {
        instance.forget();
        instance.events.add("{\"op\":\"Create\",\"salt\":" + (1000 + ++ids) + ",\"params\":"
                + Kit.settings(Kit.CLASSES).replace("\"me\":0", "\"me\":" + number) + "}");
        instance.events.add("{\"op\":\"RosterChange\",\"form\":\"stale_copy\",\"rev\":1,\"rosterId\":0}");
    }

    private static String list() {
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < HOSTS; i++) {
            hosts.append(i > 0 ? "," : "").append("{\"failureDomain\":0,\"kind\":0,\"mode\":\"on\",\"host\":\"host_")
                    .append(i).append("\",\"rating\":1,\"unitGroup\":0}");
        }
        return "{\"op\":\"List\",\"rosterId\":0,\"elements\":[" + hosts + "]}";
    }

    private static String arrive(Instance instance, int donation) {
        String id = String.format("%016x", 0x5a00000000000000L + ++ids);
        donations.put(id, donation);
        instance.received.add(id);
        instance.events.add("{\"op\":\"NewRequest\",\"id\":\"" + id + "\",\"priority\":" + DONATION
                + ",\"party\":0,\"subject\":\"k:" + donation + "\",\"timeBudgetMs\":1500.0,\"costMs\":12.0}");
        Kit.log("request", "instance", instance.name, "id", id, "donation", donation);
        return id;
    }

    /** Writes one batch and carries out its reply, whose actions take effect after all events of the batch. */
    private static void exchange(OutputStream out, BufferedReader in, long number, double now) throws IOException {
        StringBuilder groups = new StringBuilder();
        for (Instance instance : instances.values()) {
            while (!instance.due.isEmpty() && instance.due.firstKey() <= now) {
                instance.events.addAll(0, instance.due.pollFirstEntry().getValue());
            }
            if (!instance.events.isEmpty()) {
                groups.append(groups.length() > 0 ? "," : "").append("{\"who\":\"").append(instance.name).append("\",\"in\":[")
                        .append(String.join(",", instance.events)).append("]}");
                instance.events.forEach(event -> {
                    if (event.contains("\"op\":\"Outcome\"")) {
                        Matcher id = Pattern.compile("\"id\":\"(\\w+)\"").matcher(event);
                        if (id.find() && ended.add(id.group(1))) {
                            answered++;
                        }
                    }
                });
                instance.events.clear();
            }
        }
        out.write(String.format(Locale.ROOT, "{\"timeMs\":%.3f,\"batch\":%d,\"proxys\":[%s]}%n", now, number, groups)
                .getBytes(StandardCharsets.UTF_8));
        out.flush();
        String reply = in.readLine();
        if (reply == null || reply.contains("\"op\":\"Fatal\"")) {
            Kit.exit(2, "the adapter ended or failed: " + reply);
        }
        for (Matcher group = GROUP.matcher(reply); group.find(); ) {
            for (Matcher action = ACTION.matcher(group.group(2)); action.find(); ) {
                carryOut(instances.get(group.group(1)), action.group(1), action.group(2), now);
            }
        }
    }

    private static String field(String fields, String name) {
        Matcher field = Pattern.compile("\"" + name + "\":\"?([^,\"}]+)").matcher(fields);
        return field.find() ? field.group(1) : "";
    }

    private static void carryOut(Instance instance, String op, String fields, double now) {
        String id = field(fields, "id");
        if (op.equals("SetTimer")) {
            add(instance, Double.parseDouble(field(fields, "momentMs")), "{\"op\":\"Wake\",\"ref\":" + field(fields, "ref") + "}");
            return;
        }
        if (!id.isEmpty() && !instance.received.contains(id)) {
            stale++;
            if (op.equals("Dispatch")) {
                staleDonations.add(donations.get(id));
            }
            Kit.log("STALE", "instance", instance.name, "op", op, "id", id, "donation", donations.get(id));
        }
        if (op.equals("Dispatch")) {
            int times = runs.merge(donations.get(id), 1, Integer::sum);
            Kit.log(times > 1 ? "RAN_TWICE" : "ran", "host", field(fields, "host"), "id", id, "donation", donations.get(id));
            int leg = instance.legs.merge(id, 1, Integer::sum) - 1;
            if (instance.received.contains(id)) {
                add(instance, now + WORK_MS, "{\"op\":\"Outcome\",\"id\":\"" + id + "\",\"leg\":" + leg + ",\"host\":\"" + field(fields, "host")
                        + "\",\"rc\":\"success\",\"tookMs\":" + WORK_MS + ",\"final\":true}");
            }
        } else if ((op.equals("Bounce") || op.equals("Fail")) && ended.add(id)) {
            Kit.log("answer", "op", op, "id", id);
        }
    }

    private static void add(Instance instance, double atMs, String event) {
        instance.due.computeIfAbsent(atMs, at -> new ArrayList<>()).add(event);
    }
}
