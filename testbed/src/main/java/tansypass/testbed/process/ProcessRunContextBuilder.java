package tansypass.testbed.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.testbed.model.EndpointRegistry.State;
import tansypass.testbed.model.FaultSchedule;
import tansypass.testbed.model.LinkState;
import tansypass.testbed.model.ProcessNames;
import tansypass.testbed.model.WebServer;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.Fault;
import tansypass.testbed.scenario.Scenario.RequestClass;

/**
 * Opens the servers, links, discovery agents and clients of a run and writes the nodes' configuration files, but
 * starts no node. Must not be used on the event loop, because it waits for sockets to be bound.
 */
final class ProcessRunContextBuilder {
    private final Scenario scenario;
    private final ProcessRunContext context;
    private final List<String> nodeCommand;
    private final Path folder;
    private final LoopbackAllocator loopback;
    private final ChildProcessReaper reaper;

    /**
     * Creates a builder.
     *
     * @param nodeCommand the command that starts a node when the path of its configuration file is appended
     * @param folder the folder for the nodes' configuration files and logs
     */
    ProcessRunContextBuilder(
            ProcessRunContext context,
            List<String> nodeCommand,
            Path folder,
            LoopbackAllocator loopback,
            ChildProcessReaper reaper) {
        scenario = context.scenario;
        this.context = context;
        this.nodeCommand = nodeCommand;
        this.folder = folder;
        this.loopback = loopback;
        this.reaper = reaper;
    }

    /**
     * Opens all parts of the run and adds them to the context.
     *
     * @throws AddressUnavailableException if an address is already in use
     * @throws IOException if a file can't be written
     */
    void build() throws IOException {
        startServers();
        startServerLinks();
        if (scenario.faults().stream().anyMatch(Fault::isBetweenNodes)) {
            context.setMemberLinks(new MembershipLinks(context.loop, context.scheduler, context.seed));
        }
        for (int number = 0; number < scenario.nodes().count(); number++) {
            context.nodes.add(createNode(number));
        }
        startClientLinks();
        for (ProcessNodeHandle node : context.nodes) {
            node.setClients(new LoadGenerator(
                    context.loop,
                    context.scheduler,
                    context.clock,
                    context.checker,
                    node.number(),
                    context.clientAddress(node)));
        }
    }

    private void startServers() throws IOException {
        Map<String, RequestClass> classesByName = new HashMap<>();
        scenario.classes().forEach(requestClass -> classesByName.put(requestClass.name(), requestClass));
        for (int number = 0; number < scenario.servers().count(); number++) {
            String name = ProcessNames.server(number);
            WebServer model =
                    new WebServer(name, scenario.servers(), context.scheduler, RandomStreams.of(context.seed, name));
            StubWebServer server =
                    new StubWebServer(context.loop, model, number, context.checker, context.clock, classesByName);
            server.start(loopback.serverHost(number));
            context.servers.add(server);
            context.registry.put(name, number, State.READY, 0);
        }
    }

    private void startServerLinks() throws IOException {
        for (int linkKey : FaultSchedule.faultyLinks(scenario)) {
            int node = linkKey / context.servers.size();
            int server = linkKey % context.servers.size();
            context.serverLinks.put(
                    linkKey,
                    startRelay(
                            ProcessNames.node(node) + ">" + ProcessNames.server(server),
                            scenario.linkDelayUs(node, server),
                            context.servers.get(server).address(),
                            loopback.serverHost(server)));
        }
    }

    private void startClientLinks() throws IOException {
        for (int number : FaultSchedule.faultyClientLinks(scenario)) {
            ProcessNodeHandle node = context.nodes.get(number);
            Relay relay = startRelay(
                    "clients>" + node.name(),
                    scenario.linkDelays().sameZoneUs(),
                    node.clientAddress(),
                    loopback.nodeHost(number));
            context.clientLinks.put(number, relay);
        }
    }

    private Relay startRelay(String name, long delayUs, InetSocketAddress target, String host) throws IOException {
        LinkState linkState = new LinkState(delayUs, RandomStreams.of(context.seed, name));
        Relay relay = new Relay(context.loop, context.scheduler, linkState, target);
        relay.start(host);
        return relay;
    }

    private ProcessNodeHandle createNode(int number) throws IOException {
        ProcessNodeHandle node = new ProcessNodeHandle(number, context, loopback);
        DiscoveryAgent agent = new DiscoveryAgent(
                context.loop,
                scenario,
                number,
                context.registry,
                server -> context.serverAddress(number, server),
                context.checker,
                context.clock);
        agent.start(loopback.nodeHost(number));
        Path configFile = folder.resolve(node.name() + ".toml");
        Path logFile = folder.resolve(node.name() + ".log");
        Files.writeString(
                configFile,
                NodeToml.of(
                        scenario,
                        number,
                        HexFormat.of().toHexDigits(RandomStreams.seedOf(context.seed, node.name())),
                        new NodeToml.Addresses(node.clientAddress(), node.adminAddress(), agent.address()),
                        membershipSection(number)));
        node.setProcess(new NodeProcess(
                node.name(), nodeCommand, configFile, logFile, reaper, context.loop, node::handleUnexpectedExit));
        return node;
    }

    /** Returns the membership section of a node's configuration file; empty if the scenario has no cluster. */
    private String membershipSection(int number) throws IOException {
        if (scenario.cluster() == null) {
            return "";
        }
        Optional<MembershipLinks> links = context.memberLinks();
        if (links.isPresent()) {
            links.get().openProxy(loopback.memberProxyAddress(number), loopback.memberAddress(number));
        }
        IntFunction<InetSocketAddress> advertisedAddress =
                links.isPresent() ? loopback::memberProxyAddress : loopback::memberAddress;
        int seedCount = Math.min(Scenario.SEED_MEMBERS, scenario.nodes().count());
        return NodeToml.membershipSection(
                scenario.cluster(),
                loopback.memberAddress(number),
                advertisedAddress.apply(number),
                IntStream.range(0, seedCount).mapToObj(advertisedAddress).toList());
    }
}
