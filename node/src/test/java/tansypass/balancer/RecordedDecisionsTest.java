package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Properties;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Compares hashes of all actions of the load balancer with hashes that were recorded from commit 9850e63, before the
 * load balancer was split into several classes. On a mismatch the trace is written to the folder
 * {@code target/recorded-decisions}. For a change that is meant to alter decisions, the new hashes are recorded from
 * there.
 */
class RecordedDecisionsTest {
    private static final int EVENTS_PER_RUN = 6_000;
    private static final int SEEDS_PER_SCENARIO = 3;
    private static final Properties RECORDED_HASHES = new Properties();

    /** Settings and event rates for random sequences of events. */
    enum Scenario {
        PLAIN(16_000, 0),
        OVERLOAD(3_500, 0) {
            @Override
            void configure(BalancerSettings.Builder settings) {
                settings.classes(BalancerHarness.changeRequestClasses(c -> withResidualWeight(c, 0.1)));
                settings.nodes(2);
                settings.probes(true);
            }
        },
        ZONES(22_000, 0) {
            @Override
            void configure(BalancerSettings.Builder settings) {
                settings.nodes(4);
                settings.crossZonePrice(0.02);
                settings.maxRetryAfterUs(3_000_000);
            }
        },
        PROBES(30_000, 0) {
            @Override
            void configure(BalancerSettings.Builder settings) {
                settings.nodes(60);
                settings.probes(true);
                settings.probePrice(0.0005);
            }
        },
        LATE_ANSWERS_AND_QUOTAS(12_000, 0) {
            @Override
            void configure(BalancerSettings.Builder settings) {
                settings.classes(BalancerHarness.changeRequestClasses(
                        c -> withResidualWeight(c, c.name().equals("safe") ? 0 : 0.4)));
                settings.tenants(List.of(new Tenant("tenant", 0), new Tenant("limited", 12), new Tenant("small", 0.5)));
                settings.overQuotaWeight(0.2);
                settings.nodes(2);
            }
        },
        SLOW_START(20_000, 0) {
            @Override
            void configure(BalancerSettings.Builder settings) {
                settings.slowStartUs(12_000_000);
                settings.slowStartCapacity(0.1);
                settings.overloadMultiple(6);
                settings.weightByWork(true);
                settings.maxAttempts(2);
            }
        },
        UPLOADS(16_000, 0.4) {
            @Override
            void configure(BalancerSettings.Builder settings) {
                settings.nodes(3);
                settings.crossZonePrice(0.1);
            }
        },
        POLLED_LIST(15_000, 0.05) {
            @Override
            void configure(BalancerSettings.Builder settings) {
                settings.listPolling(true);
                settings.cancel(false);
                settings.probes(true);
                settings.probePrice(0.02);
                settings.nodes(40);
                settings.tickUs(4_000);
                settings.connectionIdleUs(400_000);
            }
        };

        private final long meanIntervalUs;
        private final double uploadShare;

        Scenario(long meanIntervalUs, double uploadShare) {
            this.meanIntervalUs = meanIntervalUs;
            this.uploadShare = uploadShare;
        }

        void configure(BalancerSettings.Builder settings) {}

        String run(long seed) {
            BalancerSettings.Builder settings = BalancerHarness.createSettings();
            configure(settings);
            return new RandomEventDriver(settings.build(), seed, meanIntervalUs, uploadShare).run(EVENTS_PER_RUN);
        }
    }

    private static RequestClass withResidualWeight(RequestClass requestClass, double residualWeight) {
        return new RequestClass(
                requestClass.name(),
                requestClass.latencyObjectiveUs(),
                2,
                requestClass.deadlineUs(),
                requestClass.priorityWeight(),
                residualWeight,
                requestClass.idempotency(),
                requestClass.deduplicationScope(),
                60_000,
                false);
    }

    @BeforeAll
    static void loadRecordedHashes() throws Exception {
        try (InputStream hashes = RecordedDecisionsTest.class.getResourceAsStream("recorded-decisions.properties")) {
            if (hashes != null) {
                RECORDED_HASHES.load(hashes);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Scenario.class)
    void actionsMatchRecordedHashes(Scenario scenario) throws Exception {
        StringBuilder recorded = new StringBuilder();
        StringBuilder actual = new StringBuilder();
        for (long seed = 1; seed <= SEEDS_PER_SCENARIO; seed++) {
            String name = scenario.name() + "." + seed;
            String trace = scenario.run(seed);
            String hash = RandomEventDriver.sha256(trace);
            recorded.append(name)
                    .append('=')
                    .append(RECORDED_HASHES.getProperty(name))
                    .append('\n');
            actual.append(name).append('=').append(hash).append('\n');
            if (!hash.equals(RECORDED_HASHES.getProperty(name))) {
                Path folder = Files.createDirectories(Path.of("target", "recorded-decisions"));
                Files.writeString(folder.resolve(name + ".txt"), trace);
            }
        }
        assertEquals(recorded.toString(), actual.toString());
    }

    /** Guards against recorded sequences that lack an action, whose hashes would not cover it. */
    @ParameterizedTest
    @CsvSource({
        "PLAIN, send",
        "PLAIN, reject",
        "PLAIN, fail",
        "PLAIN, timer",
        "PLAIN, log ejected",
        "PLAIN, log restored",
        "PLAIN, cancel",
        "PROBES, probe",
        "UPLOADS, deadline",
        "POLLED_LIST, subscribe"
    })
    void scenarioContainsAction(Scenario scenario, String action) {
        assertTrue(scenario.run(1).contains(" " + action), action);
    }
}
