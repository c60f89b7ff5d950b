package tansypass.simulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleConsumer;
import java.util.function.LongConsumer;
import java.util.stream.Stream;
import tansypass.balancer.BalancerSettings;
import tansypass.balancer.DeduplicationScope;
import tansypass.balancer.Idempotency;
import tansypass.balancer.LoadReportField;
import tansypass.balancer.RequestClass;
import tansypass.balancer.Tenant;

/**
 * Converts the settings of a handshake to those of the balancer. Missing settings take the balancer's documented
 * defaults, except for the classes and their required fields. The simulator and the proxy node share it, so that both
 * run the balancer under the same settings.
 */
public final class HandshakeMessage {
    private final Map<String, String> values;

    private HandshakeMessage(Map<String, String> values) {
        this.values = values;
    }

    /**
     * Reads settings given as pairs of path and value, such as {@code classes.0.name}.
     *
     * @throws IllegalArgumentException naming the path whose value is missing or invalid
     */
    public static BalancerSettings read(Map<String, String> values) {
        return new HandshakeMessage(values).toSettings();
    }

    private BalancerSettings toSettings() {
        BalancerSettings.Builder settings = BalancerSettings.builder();
        readLong("balancers", nodes -> settings.nodes((int) nodes));
        readZones(settings);
        readClasses(settings);
        readTenants(settings);
        readDouble("overShareWorth", settings::overQuotaWeight);
        settings.weightByWork("work".equals(values.get("countedBy")));
        readLimits(settings);
        settings.listPolling("on_request".equals(values.get("membershipMode")));
        readRules(settings);
        readDouble("costs.crossZone", settings::crossZonePrice);
        readDouble("costs.probe", settings::probePrice);
        readReportFields(settings);
        return settings.build();
    }

    private void readZones(BalancerSettings.Builder settings) {
        List<String> zones = new ArrayList<>(List.of(getList("zones")));
        String myZone = values.getOrDefault("myZone", "");
        if (!myZone.isEmpty() && !zones.isEmpty() && !zones.contains(myZone)) {
            // A node in a zone that is not named is in a zone of its own.
            zones.add(myZone);
        }
        settings.zones(zones);
        settings.localZone(Math.max(0, zones.indexOf(myZone)));
    }

    private void readClasses(BalancerSettings.Builder settings) {
        int classes = (int) getLong("classes.count", 0);
        for (int i = 0; i < classes; i++) {
            settings.addClass(readClass("classes." + i + "."));
        }
    }

    private void readTenants(BalancerSettings.Builder settings) {
        List<Tenant> tenants = new ArrayList<>();
        int count = (int) getLong("realms.count", 0);
        for (int i = 0; i < count; i++) {
            String prefix = "realms." + i + ".";
            tenants.add(new Tenant(require(prefix + "name"), getDouble(prefix + "quotaPerS", 0)));
        }
        settings.tenants(tenants);
    }

    private void readLimits(BalancerSettings.Builder settings) {
        readLong("limits.attemptsCap", attempts -> settings.maxAttempts((int) attempts));
        settings.hedging(getFlag("limits.parallelTries"));
        settings.cancel(getFlag("limits.cancelling"));
        settings.probes(getFlag("limits.probes"));
        settings.maxRetryAfterUs(getFlag("limits.retryAfter") ? getLong("limits.maxRetryAfterUs", 0) : 0);
        readLong("quantumUs", settings::tickUs);
        readLong("limits.dialTimeoutUs", settings::connectTimeoutUs);
        readLong("limits.connIdleUs", settings::connectionIdleUs);
    }

    private void readRules(BalancerSettings.Builder settings) {
        readLong("rules.askWithinUs", settings::maxPollIntervalUs);
        readLong("rules.drainGraceUs", settings::drainGraceUs);
        readDouble("rules.coldFrom", settings::slowStartCapacity);
        readLong("rules.coldUs", settings::slowStartUs);
        readDouble("rules.overloadFactor", settings::overloadMultiple);
        readLong("rules.fallUs", settings::overloadWindowUs);
    }

    private void readReportFields(BalancerSettings.Builder settings) {
        settings.reportFields(Stream.of(getList("report.fields"))
                .map(HandshakeMessage::reportField)
                .toList());
    }

    private static LoadReportField reportField(String name) {
        return switch (name) {
            case "concurrent" -> LoadReportField.IN_FLIGHT;
            case "depth" -> LoadReportField.QUEUED;
            case "load_share" -> LoadReportField.UTILISATION;
            case "mean_ms" -> LoadReportField.LATENCY_MS;
            case "tps" -> LoadReportField.SERVED_PER_S;
            case "err_ps" -> LoadReportField.ERRORS_PER_S;
            default -> LoadReportField.OTHER;
        };
    }

    private RequestClass readClass(String prefix) {
        String repeat = require(prefix + "repeat");
        String group = values.getOrDefault(prefix + "group", "all");
        return new RequestClass(
                require(prefix + "name"),
                requireLong(prefix + "onTimeUs"),
                getDouble(prefix + "aimStretch", 0),
                requireLong(prefix + "giveUpUs"),
                getDouble(prefix + "importance", 1),
                getDouble(prefix + "lateWorth", 0),
                switch (repeat) {
                    case "safe" -> Idempotency.IDEMPOTENT;
                    case "keyed" -> Idempotency.KEYED;
                    case "unsafe" -> Idempotency.NON_IDEMPOTENT;
                    default -> throw invalid(prefix + "repeat", "is unknown: " + repeat);
                },
                switch (group) {
                    case "all" -> DeduplicationScope.ALL;
                    case "zone" -> DeduplicationScope.ZONE;
                    case "cell" -> DeduplicationScope.CELL;
                    default -> throw invalid(prefix + "group", "is unknown: " + group);
                },
                getLong(prefix + "windowUs", 0),
                getFlag(prefix + "stream"));
    }

    private String require(String path) {
        String value = values.get(path);
        if (value == null) {
            throw invalid(path, "is missing");
        }
        return value;
    }

    private String[] getList(String path) {
        String value = values.getOrDefault(path, "");
        return value.isEmpty() ? new String[0] : value.split(",");
    }

    private boolean getFlag(String path) {
        String value = values.getOrDefault(path, "0");
        return "1".equals(value) || "true".equals(value);
    }

    private long requireLong(String path) {
        return (long) parseDouble(path, require(path));
    }

    private void readLong(String path, LongConsumer setter) {
        if (values.containsKey(path)) {
            setter.accept(requireLong(path));
        }
    }

    private void readDouble(String path, DoubleConsumer setter) {
        if (values.containsKey(path)) {
            setter.accept(parseDouble(path, require(path)));
        }
    }

    private long getLong(String path, long defaultValue) {
        return values.containsKey(path) ? requireLong(path) : defaultValue;
    }

    private double getDouble(String path, double defaultValue) {
        return values.containsKey(path) ? parseDouble(path, require(path)) : defaultValue;
    }

    private double parseDouble(String path, String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw invalid(path, "is not a number: " + text);
        }
    }

    private static IllegalArgumentException invalid(String path, String reason) {
        return new IllegalArgumentException(path + " " + reason);
    }
}
