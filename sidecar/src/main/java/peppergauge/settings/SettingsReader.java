package peppergauge.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;
import peppergauge.decision.LoadBalancer.Rules;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.decision.LoadBalancer.Tenant;

/** Turns the wire's {@code params} into the module's settings; unknown keys are passed over. */
public final class SettingsReader {

    private SettingsReader() {}

    public static Settings read(Map<String, Object> params) {
        Map<String, Object> limits = object(params, "limits");
        Map<String, Object> rules = object(params, "rules");
        Map<String, Object> charges = object(params, "charges");
        return new Settings(
                (int) number(params, "me", 0),
                (int) number(params, "balancers", 1),
                (int) number(params, "zone", 0),
                number(params, "tickMs", 1),
                "subscribe".equals(params.get("registryMode")),
                number(params, "overShareWorth", 1),
                classes(params),
                tenants(params),
                new Limits(
                        (int) number(limits, "mostTries", 1),
                        flag(limits, "parallelTries"),
                        flag(limits, "cancelling"),
                        flag(limits, "mayProbe"),
                        flag(limits, "retryAfter"),
                        number(limits, "maxRetryAfterMs", 0),
                        number(charges, "connection", 0) > 0 || number(charges, "handshake", 0) > 0,
                        number(limits, "connIdleMs", 0)),
                new Rules(
                        number(rules, "coldShare", 1),
                        number(rules, "coldMs", 0),
                        number(rules, "tipMultiple", 1),
                        number(rules, "fallMs", 0),
                        !flag(rules, "softRemoval"),
                        budget(rules)),
                loadFields(object(params, "report")));
    }

    /** For how long a server that counts as leaving may still be sent to, where the settings tell it. */
    public static OptionalDouble drainGraceMs(Map<String, Object> params) {
        Map<String, Object> rules = object(params, "rules");
        return rules.containsKey("drainGraceMs")
                ? OptionalDouble.of(number(rules, "drainGraceMs", 0))
                : OptionalDouble.empty();
    }

    /** Each of the three figures may be absent; with none of them there is no such rule. */
    private static RetryBudgetConfig budget(Map<String, Object> rules) {
        boolean stated = rules.containsKey("extraFree")
                || rules.containsKey("resendRatio")
                || rules.containsKey("budgetWindowMs");
        return !stated
                ? RetryBudgetConfig.UNLIMITED
                : new RetryBudgetConfig(
                        finite(rules, "extraFree"), finite(rules, "resendRatio"), finite(rules, "budgetWindowMs"));
    }

    private static double finite(Map<String, Object> from, String key) {
        double value = number(from, key, 0);
        if (Double.isInfinite(value)) {
            throw new IllegalArgumentException("setting " + key + " cannot be " + value);
        }
        return value;
    }

    private static List<RequestClass> classes(Map<String, Object> params) {
        List<RequestClass> classes = new ArrayList<>();
        for (Map<String, Object> profile : objects(params, "profiles")) {
            double aim = number(profile, "aimMs", 0);
            classes.add(new RequestClass(
                    aim,
                    number(profile, "deadlineMs", aim),
                    number(profile, "worth", 1),
                    number(profile, "lateWorth", 0),
                    effect(profile.get("effect")),
                    group(profile.get("group")),
                    number(profile, "keyTtlMs", 0)));
        }
        return classes;
    }

    private static List<Tenant> tenants(Map<String, Object> params) {
        List<Tenant> tenants = new ArrayList<>();
        for (Map<String, Object> tenant : objects(params, "tenants")) {
            tenants.add(new Tenant(number(tenant, "quotaPerS", 0)));
        }
        return tenants;
    }

    private static List<LoadField> loadFields(Map<String, Object> report) {
        List<LoadField> fields = new ArrayList<>();
        if (report.get("names") instanceof List<?> names) {
            for (Object name : names) {
                fields.add(loadField(String.valueOf(name)));
            }
        }
        return fields;
    }

    /** A report's figure by its name in the settings, or by the name that its header has for it. */
    public static LoadField loadField(String name) {
        return switch (name) {
            case "active", "inflight" -> LoadField.IN_FLIGHT;
            case "waiting", "queue" -> LoadField.QUEUED;
            case "cpu", "util" -> LoadField.UTILISATION;
            case "avg_ms", "latency_ms" -> LoadField.LATENCY_MS;
            case "rps", "qps" -> LoadField.SERVED_PER_S;
            case "err_rps", "eps" -> LoadField.ERRORS_PER_S;
            default -> LoadField.OTHER;
        };
    }

    /** An effect that the wire does not name is taken as the one that forbids most. */
    private static Idempotency effect(Object name) {
        return switch (String.valueOf(name)) {
            case "idempotent" -> Idempotency.IDEMPOTENT;
            case "deduplicated" -> Idempotency.IDEMPOTENCY_KEY;
            default -> Idempotency.NON_IDEMPOTENT;
        };
    }

    private static KeyScope group(Object name) {
        return switch (String.valueOf(name)) {
            case "all" -> KeyScope.ALL;
            case "zone" -> KeyScope.ZONE;
            default -> KeyScope.CELL;
        };
    }

    private static double number(Map<String, Object> from, String key, double absent) {
        Object value = from.get(key);
        if (value == null) {
            return absent;
        }
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw new IllegalArgumentException("params." + key + " is not a number");
    }

    private static boolean flag(Map<String, Object> from, String key) {
        return Boolean.TRUE.equals(from.get(key));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Map<String, Object> from, String key) {
        return from.get(key) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> objects(Map<String, Object> from, String key) {
        List<Map<String, Object>> objects = new ArrayList<>();
        if (from.get(key) instanceof List<?> list) {
            for (Object element : list) {
                if (!(element instanceof Map<?, ?> map)) {
                    throw new IllegalArgumentException("params." + key + " holds something that is not an object");
                }
                objects.add((Map<String, Object>) map);
            }
        }
        return objects;
    }
}
