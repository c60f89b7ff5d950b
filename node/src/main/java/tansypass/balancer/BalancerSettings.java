package tansypass.balancer;

import java.util.ArrayList;
import java.util.List;

/**
 * The settings of one node's load balancer. An instance is immutable and always valid. The defaults are those of
 * {@link Builder}.
 *
 * @param nodes number of nodes that share the servers, including this one; 1 or more
 * @param localZone this node's zone, an index into {@code zones}
 * @param zones names of the zones; empty where there are none
 * @param classes request classes; at least one
 * @param tenants tenants; may be empty
 * @param overQuotaWeight priority weight of a request beyond its tenant's quota, as a share of its class's priority
 *     weight
 * @param weightByWork whether priority weights are per unit of a request's work; if false, they are per request
 * @param maxAttempts maximum number of attempts for a request; 1 or more
 * @param hedging whether a request may have two attempts in flight at once
 * @param cancel whether attempts may be cancelled
 * @param probes whether servers may be probed
 * @param maxRetryAfterUs longest Retry-After of a rejection, in microseconds; 0 if rejections have none
 * @param tickUs shortest time between two events that the load balancer is given, in microseconds
 * @param connectTimeoutUs time allowed to open a connection, in microseconds
 * @param connectionIdleUs time after which servers close an idle connection, in microseconds
 * @param listPolling whether the node must poll the endpoint list or subscribe to it; if false, updates arrive without
 *     a request
 * @param maxPollIntervalUs longest interval between two polls of the endpoint list, in microseconds
 * @param drainGraceUs time within which a node must stop sending to a server after it has learned that the server is
 *     draining or gone, in microseconds
 * @param slowStartCapacity smallest share of its full capacity that a server has right after its start, in (0, 1]
 * @param slowStartUs longest time in which a server warms up, in microseconds
 * @param overloadMultiple a server that is warming up fails when all nodes together send it more than this multiple of
 *     its present capacity during {@code overloadWindowUs}; above 0
 * @param overloadWindowUs length of that window, in microseconds
 * @param crossZonePrice price of an attempt that crosses zones; 0 if crossing is free
 * @param probePrice price of one probe, as a multiple of the mean priority weight of a request
 * @param reportFields fields of load reports, in order; empty if there are none
 */
public record BalancerSettings(
        int nodes,
        int localZone,
        List<String> zones,
        List<RequestClass> classes,
        List<Tenant> tenants,
        double overQuotaWeight,
        boolean weightByWork,
        int maxAttempts,
        boolean hedging,
        boolean cancel,
        boolean probes,
        long maxRetryAfterUs,
        long tickUs,
        long connectTimeoutUs,
        long connectionIdleUs,
        boolean listPolling,
        long maxPollIntervalUs,
        long drainGraceUs,
        double slowStartCapacity,
        long slowStartUs,
        double overloadMultiple,
        long overloadWindowUs,
        double crossZonePrice,
        double probePrice,
        List<LoadReportField> reportFields) {

    /**
     * Copies the lists and checks all ranges.
     *
     * @throws InvalidSettingException if a setting is missing or out of range
     */
    public BalancerSettings {
        zones = List.copyOf(zones);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        reportFields = List.copyOf(reportFields);
        require(!classes.isEmpty(), "classes", "is empty");
        requireAtLeastOne(nodes, "nodes");
        requireAtLeastOne(maxAttempts, "maxAttempts");
        require(
                localZone >= 0 && localZone < Math.max(1, zones.size()),
                "localZone",
                "is not an index into zones: " + localZone);
        requireNotNegative(tickUs, "tickUs");
        requireNotNegative(slowStartUs, "slowStartUs");
        requireNotNegative(overloadWindowUs, "overloadWindowUs");
        requireNotNegative(drainGraceUs, "drainGraceUs");
        requireNotNegative(connectTimeoutUs, "connectTimeoutUs");
        requireNotNegative(maxPollIntervalUs, "maxPollIntervalUs");
        requireNotNegative(connectionIdleUs, "connectionIdleUs");
        requireNotNegative(maxRetryAfterUs, "maxRetryAfterUs");
        requireNotNegative(overQuotaWeight, "overQuotaWeight");
        requireNotNegative(crossZonePrice, "crossZonePrice");
        requireNotNegative(probePrice, "probePrice");
        require(
                slowStartCapacity > 0 && slowStartCapacity <= 1,
                "slowStartCapacity",
                "is not in (0, 1]: " + slowStartCapacity);
        require(overloadMultiple > 0, "overloadMultiple", "is not above 0: " + overloadMultiple);
        for (int i = 0; i < classes.size(); i++) {
            validateClass(i, classes.get(i));
        }
    }

    private static void validateClass(int index, RequestClass requestClass) {
        requireNotNegativeInClass(requestClass.latencyObjectiveUs(), index, "latencyObjectiveUs");
        requireNotNegativeInClass(requestClass.objectiveStretch(), index, "objectiveStretch");
        requireNotNegativeInClass(requestClass.deduplicationWindowUs(), index, "deduplicationWindowUs");
        requireNotNegativeInClass(requestClass.priorityWeight(), index, "priorityWeight");
        requireNotNegativeInClass(requestClass.residualWeight(), index, "residualWeight");
        if (requestClass.deadlineUs() <= 0) {
            throw new InvalidSettingException(index, "deadlineUs", "is not above 0: " + requestClass.deadlineUs());
        }
        if (requestClass.idempotency() == Idempotency.KEYED && requestClass.deduplicationScope() == null) {
            throw new InvalidSettingException(index, "deduplicationScope", "is missing");
        }
    }

    private static void requireNotNegativeInClass(long value, int index, String component) {
        if (value < 0) {
            throw new InvalidSettingException(index, component, "is negative: " + value);
        }
    }

    private static void requireNotNegativeInClass(double value, int index, String component) {
        if (!isNotNegative(value)) {
            throw new InvalidSettingException(index, component, "is negative: " + value);
        }
    }

    private static void requireAtLeastOne(int value, String component) {
        require(value >= 1, component, "is under 1: " + value);
    }

    private static void requireNotNegative(long value, String component) {
        require(value >= 0, component, "is negative: " + value);
    }

    private static void requireNotNegative(double value, String component) {
        require(isNotNegative(value), component, "is negative: " + value);
    }

    /** Returns whether a value is 0 or more; NaN is not. */
    private static boolean isNotNegative(double value) {
        return value >= 0;
    }

    private static void require(boolean holds, String component, String problem) {
        if (!holds) {
            throw new InvalidSettingException(component, problem);
        }
    }

    /** Returns a builder that has the defaults. Classes have no default: at least one must be added. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns how long a node keeps an idle connection, in microseconds. This is half of the servers' idle timeout: a
     * request that is written to a connection while its server closes it may have been executed.
     */
    public long idleTimeoutUs() {
        return connectionIdleUs / 2;
    }

    /** Returns whether these settings contain the class and the tenant of a request. */
    boolean hasClassAndTenant(BalancerRequest request) {
        return request.classIndex() >= 0 && request.classIndex() < classes.size() && request.tenant() < tenants.size();
    }

    /** Builds settings. Each setter has the name of the record component that documents it. Not thread-safe. */
    public static final class Builder {
        private int nodes = 1;
        private int localZone;
        private List<String> zones = List.of();
        private List<RequestClass> classes = List.of();
        private List<Tenant> tenants = List.of();
        private double overQuotaWeight = 1;
        private boolean weightByWork;
        private int maxAttempts = 3;
        private boolean hedging;
        private boolean cancel;
        private boolean probes;
        private long maxRetryAfterUs;
        private long tickUs = 1_000;
        private long connectTimeoutUs = 250_000;
        private long connectionIdleUs = 15_000_000;
        private boolean listPolling;
        private long maxPollIntervalUs = 10_000_000;
        private long drainGraceUs = 1_000_000;
        private double slowStartCapacity = 0.2;
        private long slowStartUs = 20_000_000;
        private double overloadMultiple = 3;
        private long overloadWindowUs = 2_000_000;
        private double crossZonePrice;
        private double probePrice;
        private List<LoadReportField> reportFields = List.of();

        private Builder() {}

        /** Sets {@link BalancerSettings#nodes}. */
        public Builder nodes(int value) {
            nodes = value;
            return this;
        }

        /** Sets {@link BalancerSettings#localZone}. */
        public Builder localZone(int value) {
            localZone = value;
            return this;
        }

        /** Sets {@link BalancerSettings#zones}. */
        public Builder zones(List<String> value) {
            zones = value;
            return this;
        }

        /** Sets {@link BalancerSettings#classes}. */
        public Builder classes(List<RequestClass> value) {
            classes = value;
            return this;
        }

        /** Adds a class to {@link BalancerSettings#classes}. */
        public Builder addClass(RequestClass requestClass) {
            List<RequestClass> extended = new ArrayList<>(classes);
            extended.add(requestClass);
            classes = extended;
            return this;
        }

        /** Sets {@link BalancerSettings#tenants}. */
        public Builder tenants(List<Tenant> value) {
            tenants = value;
            return this;
        }

        /** Sets {@link BalancerSettings#overQuotaWeight}. */
        public Builder overQuotaWeight(double value) {
            overQuotaWeight = value;
            return this;
        }

        /** Sets {@link BalancerSettings#weightByWork}. */
        public Builder weightByWork(boolean value) {
            weightByWork = value;
            return this;
        }

        /** Sets {@link BalancerSettings#maxAttempts}. */
        public Builder maxAttempts(int value) {
            maxAttempts = value;
            return this;
        }

        /** Sets {@link BalancerSettings#hedging}. */
        public Builder hedging(boolean value) {
            hedging = value;
            return this;
        }

        /** Sets {@link BalancerSettings#cancel}. */
        public Builder cancel(boolean value) {
            cancel = value;
            return this;
        }

        /** Sets {@link BalancerSettings#probes}. */
        public Builder probes(boolean value) {
            probes = value;
            return this;
        }

        /** Sets {@link BalancerSettings#maxRetryAfterUs}. */
        public Builder maxRetryAfterUs(long value) {
            maxRetryAfterUs = value;
            return this;
        }

        /** Sets {@link BalancerSettings#tickUs}. */
        public Builder tickUs(long value) {
            tickUs = value;
            return this;
        }

        /** Sets {@link BalancerSettings#connectTimeoutUs}. */
        public Builder connectTimeoutUs(long value) {
            connectTimeoutUs = value;
            return this;
        }

        /** Sets {@link BalancerSettings#connectionIdleUs}. */
        public Builder connectionIdleUs(long value) {
            connectionIdleUs = value;
            return this;
        }

        /** Sets {@link BalancerSettings#listPolling}. */
        public Builder listPolling(boolean value) {
            listPolling = value;
            return this;
        }

        /** Sets {@link BalancerSettings#maxPollIntervalUs}. */
        public Builder maxPollIntervalUs(long value) {
            maxPollIntervalUs = value;
            return this;
        }

        /** Sets {@link BalancerSettings#drainGraceUs}. */
        public Builder drainGraceUs(long value) {
            drainGraceUs = value;
            return this;
        }

        /** Sets {@link BalancerSettings#slowStartCapacity}. */
        public Builder slowStartCapacity(double value) {
            slowStartCapacity = value;
            return this;
        }

        /** Sets {@link BalancerSettings#slowStartUs}. */
        public Builder slowStartUs(long value) {
            slowStartUs = value;
            return this;
        }

        /** Sets {@link BalancerSettings#overloadMultiple}. */
        public Builder overloadMultiple(double value) {
            overloadMultiple = value;
            return this;
        }

        /** Sets {@link BalancerSettings#overloadWindowUs}. */
        public Builder overloadWindowUs(long value) {
            overloadWindowUs = value;
            return this;
        }

        /** Sets {@link BalancerSettings#crossZonePrice}. */
        public Builder crossZonePrice(double value) {
            crossZonePrice = value;
            return this;
        }

        /** Sets {@link BalancerSettings#probePrice}. */
        public Builder probePrice(double value) {
            probePrice = value;
            return this;
        }

        /** Sets {@link BalancerSettings#reportFields}. */
        public Builder reportFields(List<LoadReportField> value) {
            reportFields = value;
            return this;
        }

        /**
         * Returns the settings.
         *
         * @throws InvalidSettingException if one is missing or out of range
         */
        public BalancerSettings build() {
            return new BalancerSettings(
                    nodes,
                    localZone,
                    zones,
                    classes,
                    tenants,
                    overQuotaWeight,
                    weightByWork,
                    maxAttempts,
                    hedging,
                    cancel,
                    probes,
                    maxRetryAfterUs,
                    tickUs,
                    connectTimeoutUs,
                    connectionIdleUs,
                    listPolling,
                    maxPollIntervalUs,
                    drainGraceUs,
                    slowStartCapacity,
                    slowStartUs,
                    overloadMultiple,
                    overloadWindowUs,
                    crossZonePrice,
                    probePrice,
                    reportFields);
        }
    }
}
