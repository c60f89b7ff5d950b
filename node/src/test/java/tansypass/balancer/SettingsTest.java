package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Validation of the load balancer's settings, and their defaults. */
class SettingsTest {
    private static final RequestClass CLASS_WITHOUT_DEADLINE =
            new RequestClass("none", 0, 0, 0, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false);

    @Test
    void messageNamesSettingThatIsOutOfRange() {
        Map<String, Consumer<BalancerSettings.Builder>> invalidChanges = Map.of(
                "classes[5].deadlineUs", s -> s.addClass(CLASS_WITHOUT_DEADLINE),
                "nodes", s -> s.nodes(0),
                "maxAttempts", s -> s.maxAttempts(0),
                "classes", s -> s.classes(List.of()),
                "localZone", s -> s.localZone(7),
                "tickUs", s -> s.tickUs(-1),
                "maxPollIntervalUs", s -> s.maxPollIntervalUs(-1),
                "slowStartCapacity", s -> s.slowStartCapacity(0),
                "overloadMultiple", s -> s.overloadMultiple(0),
                "probePrice", s -> s.probePrice(-1));
        invalidChanges.forEach((setting, change) -> {
            BalancerSettings.Builder settings = BalancerHarness.createSettings();
            change.accept(settings);
            InvalidSettingException exception =
                    assertThrows(InvalidSettingException.class, () -> new BalancerHarness(settings, 1));
            assertTrue(exception.getMessage().startsWith(setting), exception.getMessage());
        });
    }

    @Test
    void requestIsSentWithDefaultSettings() {
        BalancerSettings settings = BalancerSettings.builder()
                .nodes(12)
                .zones(List.of("hall"))
                .addClass(new RequestClass(
                        "view", 200_000, 0, 1_000_000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false))
                .build();
        BalancerHarness actions = new BalancerHarness();
        LoadBalancer balancer = new WeightedTwoChoicesLoadBalancer(settings, 42, actions);
        balancer.onEndpointUpdate(
                1_000, UpdateKind.CACHED, List.of(new ServerEntry("10.0.0.1:80", 0, 0, ServerState.READY, 1, 0)));
        balancer.onRequest(2_000, new BalancerRequest(1, 0, -1, 1_000_000, 0, false));
        assertEquals("10.0.0.1:80", actions.lastAttempt(1).server());
    }
}
