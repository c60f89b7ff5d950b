package tansypass.testbed.process;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import tansypass.cluster.transport.EventLoopScheduler;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.model.ClientLoadBalancer;
import tansypass.testbed.model.EndpointRegistry;
import tansypass.testbed.scenario.Scenario;

/**
 * Holds the parts of one run on real processes, which reach each other through it. It is built on the caller's
 * thread; afterwards all parts are used only on the run's event loop.
 */
final class ProcessRunContext {
    final Scenario scenario;
    final long seed;
    final EventLoop loop;
    final EventLoopScheduler scheduler;
    final RunClock clock;
    final InvariantChecker checker;
    final EndpointRegistry registry = new EndpointRegistry();
    final ClientLoadBalancer clientLoadBalancer;
    final List<StubWebServer> servers = new ArrayList<>();
    final List<ProcessNodeHandle> nodes = new ArrayList<>();
    /** The links from nodes to servers that a fault affects, by {@link #linkKey}. */
    final Map<Integer, Relay> serverLinks = new HashMap<>();
    /** The links from the clients to nodes that a fault affects, by number of the node. */
    final Map<Integer, Relay> clientLinks = new TreeMap<>();

    private final CompletableFuture<Void> completion = new CompletableFuture<>();
    /** The links between nodes; empty if no fault affects them. In that case nodes exchange messages directly. */
    private Optional<MembershipLinks> memberLinks = Optional.empty();

    ProcessRunContext(Scenario scenario, long seed, EventLoop loop) {
        this.scenario = scenario;
        this.seed = seed;
        this.loop = loop;
        scheduler = new EventLoopScheduler(loop);
        clock = new RunClock(scheduler);
        checker = new InvariantChecker(scenario);
        clientLoadBalancer = new ClientLoadBalancer(
                scheduler, scenario.nodes().count(), scenario.clients().failureDetectionUs());
    }

    /** Returns the key of the link from a node to a server. {@code FaultSchedule.faultyLinks} returns the same keys. */
    int linkKey(int node, int server) {
        return node * scenario.servers().count() + server;
    }

    /** Returns the address at which a node reaches a server: that of a relay if a fault affects the link. */
    InetSocketAddress serverAddress(int node, int server) {
        return Optional.ofNullable(serverLinks.get(linkKey(node, server)))
                .map(Relay::address)
                .orElseGet(servers.get(server)::address);
    }

    /** Returns the address at which clients reach a node: that of a relay if a fault affects the link. */
    InetSocketAddress clientAddress(ProcessNodeHandle node) {
        return Optional.ofNullable(clientLinks.get(node.number()))
                .map(Relay::address)
                .orElseGet(node::clientAddress);
    }

    Optional<MembershipLinks> memberLinks() {
        return memberLinks;
    }

    void setMemberLinks(MembershipLinks links) {
        memberLinks = Optional.of(links);
    }

    /** Returns a future that completes when the run is over, or exceptionally if the run has to be aborted. */
    CompletableFuture<Void> completion() {
        return completion;
    }

    boolean isFinished() {
        return completion.isDone();
    }
}
