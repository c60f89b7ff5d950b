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
 * The parts of one run on real processes, which know one another through it. Built on the caller's thread;
 * all else happens on the one event loop.
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
    /** By {@link #linkKey}, the links from nodes to servers that some fault is on. */
    final Map<Integer, Relay> serverLinks = new HashMap<>();
    /** By node, the links from the clients that some fault is on. */
    final Map<Integer, Relay> clientLinks = new TreeMap<>();

    private final CompletableFuture<Void> completion = new CompletableFuture<>();
    /** Empty where no fault is on a link between nodes, which then exchange messages directly. */
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

    /** Returns the key of the link from a node to a server, as {@code FaultSchedule.faultyLinks} gives it. */
    int linkKey(int node, int server) {
        return node * scenario.servers().count() + server;
    }

    /** Returns where a node reaches a server. */
    InetSocketAddress serverAddress(int node, int server) {
        return Optional.ofNullable(serverLinks.get(linkKey(node, server)))
                .map(Relay::address)
                .orElseGet(servers.get(server)::address);
    }

    /** Returns where clients reach a node. */
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

    /** Returns a future that completes when the run is over, or exceptionally when it cannot go on. */
    CompletableFuture<Void> completion() {
        return completion;
    }

    boolean isFinished() {
        return completion.isDone();
    }
}
