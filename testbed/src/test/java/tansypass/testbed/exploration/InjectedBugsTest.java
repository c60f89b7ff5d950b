package tansypass.testbed.exploration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tansypass.balancer.AttemptOutcome;
import tansypass.balancer.AttemptResult;
import tansypass.balancer.BalancerSettings;
import tansypass.balancer.LoadBalancer;
import tansypass.balancer.LoadBalancerActions;
import tansypass.balancer.ServerEntry;
import tansypass.balancer.ServerState;
import tansypass.testbed.TestScenarios;
import tansypass.testbed.invariant.Invariant;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.ScenarioToml;
import tansypass.testbed.simulation.ForwardingNetwork;
import tansypass.testbed.simulation.NodeParts;
import tansypass.testbed.simulation.SimulatedNetwork;
import tansypass.testbed.simulation.SimulationRun;

/**
 * Each test injects a bug that violates one invariant, and only under some fault. Exploring schedules has to find the
 * violation; without a bug it must find none.
 */
class InjectedBugsTest {
    private static final int MAX_RUNS = 400;
    private static final long BUDGET_MS = 60_000;
    private static final Scenario SCENARIO = TestScenarios.of(TestScenarios.SMALL);

    private static Optional<ScheduleExplorer.Finding> explore(NodeParts parts, int maxRuns)
            throws InterruptedException {
        return new ScheduleExplorer(SCENARIO, (scenario, seed) -> SimulationRun.run(scenario, seed, parts))
                .explore(1, BUDGET_MS, maxRuns, 2)
                .finding();
    }

    private static void assertFinds(Invariant invariant, NodeParts faultyParts) throws InterruptedException {
        ScheduleExplorer.Finding found = explore(faultyParts, MAX_RUNS)
                .orElseThrow(() -> new AssertionError("no violation found in " + MAX_RUNS + " schedules"));
        assertEquals(invariant, found.violation().invariant(), found.toString());
        assertTrue(found.smallestScenario().faults().size() <= 2, found.toString());
        // The scenario gives the same violation after it has been written as TOML and read again. With the product's
        // own parts it gives none.
        Scenario reloaded = TestScenarios.of(ScenarioToml.of(found.smallestScenario()));
        InvariantChecker replayed = SimulationRun.run(reloaded, found.seed(), faultyParts);
        assertTrue(replayed.violations().contains(found.violation()), found + " is not in " + replayed.violations());
        assertEquals(List.of(), SimulationRun.run(reloaded, found.seed()).violations());
    }

    /** Parts with a balancer whose calls can be changed before they run. */
    private abstract static class InterceptedBalancer implements NodeParts {
        @Override
        public LoadBalancer createBalancer(BalancerSettings settings, long seed, LoadBalancerActions actions) {
            LoadBalancer productBalancer = NodeParts.PRODUCT.createBalancer(settings, seed, actions);
            return (LoadBalancer) Proxy.newProxyInstance(
                    LoadBalancer.class.getClassLoader(),
                    new Class<?>[] {LoadBalancer.class},
                    (proxy, method, arguments) -> {
                        beforeCall(method.getName(), arguments, actions);
                        try {
                            return method.invoke(productBalancer, arguments);
                        } catch (InvocationTargetException e) {
                            throw e.getCause();
                        }
                    });
        }

        abstract void beforeCall(String method, Object[] arguments, LoadBalancerActions actions);
    }

    /** Parts with a faulty network. It is a functional interface so that tests can give the network as a lambda. */
    private interface FaultyNetwork extends NodeParts {
        SimulatedNetwork wrap(SimulatedNetwork network);

        @Override
        default SimulatedNetwork wrapNetwork(SimulatedNetwork network) {
            return wrap(network);
        }
    }

    @Test
    void findsNoViolationInProduct() throws InterruptedException {
        Optional<ScheduleExplorer.Finding> found = explore(NodeParts.PRODUCT, 60);
        assertEquals(Optional.empty(), found);
    }

    @Test
    void findsLostResponseAfterReset() throws InterruptedException {
        FaultyNetwork dropsResponses = network -> new ForwardingNetwork(network) {
            private final Set<Long> resetRequests = new HashSet<>();

            @Override
            public OutboundRequest send(String server, long requestId, boolean isFirstOnConnection, Callback callback) {
                return super.send(server, requestId, isFirstOnConnection, (result, status, body) -> {
                    if (result == AttemptResult.RESET) {
                        resetRequests.add(requestId);
                    }
                    callback.onComplete(result, status, body);
                });
            }

            @Override
            public void respond(long requestId, int status, String body) {
                if (!resetRequests.contains(requestId)) {
                    super.respond(requestId, status, body);
                }
            }
        };
        assertFinds(Invariant.ANSWERED, dropsResponses);
    }

    @Test
    void findsInventedResponseAfterError() throws InterruptedException {
        FaultyNetwork inventsResponses = network -> new ForwardingNetwork(network) {
            @Override
            public void respond(long requestId, int status, String body) {
                super.respond(requestId, status == 502 ? 200 : status, body);
            }
        };
        assertFinds(Invariant.INVENTED_ANSWER, inventsResponses);
    }

    @Test
    void findsInventedRequestAfterFailedConnect() throws InterruptedException {
        FaultyNetwork inventsRequests = network -> new ForwardingNetwork(network) {
            @Override
            public void connect(String server, Callback callback) {
                super.connect(server, (result, status, body) -> {
                    callback.onComplete(result, status, body);
                    if (result == AttemptResult.CONNECT_FAILED) {
                        super.connect(server, (retryResult, retryStatus, retryBody) -> {
                            if (retryResult == AttemptResult.OK) {
                                super.send(server, -1, true, (sendResult, sendStatus, sendBody) -> {});
                            }
                        });
                    }
                });
            }
        };
        assertFinds(Invariant.INVENTED_REQUEST, inventsRequests);
    }

    @Test
    void findsConnectionLeakAfterCancelledAttempt() throws InterruptedException {
        FaultyNetwork leaksConnections = network -> new ForwardingNetwork(network) {
            @Override
            public OutboundRequest send(String server, long requestId, boolean isFirstOnConnection, Callback callback) {
                super.send(server, requestId, isFirstOnConnection, callback);
                return () -> {};
            }
        };
        // A safe request is retried while the attempt that was not closed is in flight; this is detected before the
        // leak.
        ScheduleExplorer.Finding found = explore(leaksConnections, MAX_RUNS).orElseThrow();
        assertTrue(
                Set.of(Invariant.LEAKED, Invariant.REPEATED)
                        .contains(found.violation().invariant()),
                found.toString());
        List<Invariant> violatedInvariants = new ArrayList<>();
        SimulationRun.run(found.smallestScenario(), found.seed(), leaksConnections)
                .violations()
                .forEach(violation -> violatedInvariants.add(violation.invariant()));
        assertTrue(
                violatedInvariants.contains(Invariant.LEAKED) || violatedInvariants.contains(Invariant.REPEATED),
                violatedInvariants.toString());
    }

    @Test
    void findsRetryOfUnsafeRequestAfterTimeout() throws InterruptedException {
        assertFinds(Invariant.REPEATED, new InterceptedBalancer() {
            @Override
            void beforeCall(String method, Object[] arguments, LoadBalancerActions actions) {
                if (method.equals("onOutcome")) {
                    AttemptOutcome outcome = (AttemptOutcome) arguments[1];
                    if (outcome.result() == AttemptResult.TIMEOUT && outcome.attempt() == 0) {
                        actions.send(outcome.requestId(), "server-0", 0);
                        actions.send(outcome.requestId(), "server-3", 0);
                    }
                }
            }
        });
    }

    @Test
    void findsRequestToDrainingServer() throws InterruptedException {
        assertFinds(Invariant.DRAINING, new InterceptedBalancer() {
            @Override
            void beforeCall(String method, Object[] arguments, LoadBalancerActions actions) {
                if (method.equals("onEndpointUpdate")) {
                    @SuppressWarnings("unchecked")
                    List<ServerEntry> entries = (List<ServerEntry>) arguments[2];
                    arguments[2] = entries.stream()
                            .map(entry -> new ServerEntry(
                                    entry.id(),
                                    entry.zone(),
                                    entry.cell(),
                                    ServerState.READY,
                                    entry.weight(),
                                    entry.startedAtUs()))
                            .toList();
                }
            }
        });
    }

    @Test
    void findsExceptionOnServerThatIsWarmingUp() throws InterruptedException {
        assertFinds(Invariant.DIED, new InterceptedBalancer() {
            @Override
            void beforeCall(String method, Object[] arguments, LoadBalancerActions actions) {
                if (method.equals("onEndpointUpdate")
                        && ((List<?>) arguments[2])
                                .stream().anyMatch(entry -> ((ServerEntry) entry).startedAtUs() > 0)) {
                    throw new IllegalStateException("injected");
                }
            }
        });
    }
}
