package tansypass.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import tansypass.balancer.AttemptResult;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.testbed.model.LinkState;
import tansypass.testbed.model.LinkState.Direction;
import tansypass.testbed.scenario.Scenario;

/** The network of one simulated node: the links from the node to the servers, and the link from the clients to it. */
final class SimulatedNodeNetwork implements SimulatedNetwork {
    /** The assumed size of each request and response on links with a rate limit. */
    static final int MESSAGE_BYTES = 300;

    private final SimulationContext context;
    private final SimulatedNodeHandle node;
    private final LinkState clientLink;
    private final List<LinkState> serverLinks = new ArrayList<>();

    SimulatedNodeNetwork(SimulationContext context, SimulatedNodeHandle node) {
        this.context = context;
        this.node = node;
        Scenario scenario = context.scenario;
        clientLink = new LinkState(
                scenario.linkDelays().sameZoneUs(), RandomStreams.of(context.seed, "clients>" + node.name()));
        for (SimulatedServer server : context.servers) {
            serverLinks.add(new LinkState(
                    scenario.linkDelayUs(node.number(), server.number()),
                    RandomStreams.of(
                            context.seed, node.name() + ">" + server.model().name())));
        }
    }

    LinkState clientLink() {
        return clientLink;
    }

    LinkState serverLink(int server) {
        return serverLinks.get(server);
    }

    @Override
    public void connect(String serverName, Callback callback) {
        SimulatedServer server = context.server(serverName);
        LinkState link = serverLinks.get(server.number());
        SimulatedProcess caller = node.process();
        if (link.blocksHandshakes()) {
            return;
        }
        long arrivalUs = link.streamDueUs(Direction.THERE, context.nowUs(), 0);
        context.queue.after(arrivalUs - context.nowUs(), () -> {
            boolean isAccepted =
                    server.isUp() && !link.isReset() && server.model().acceptConnection();
            AttemptResult result = isAccepted ? AttemptResult.OK : AttemptResult.CONNECT_FAILED;
            long backUs = link.streamDueUs(Direction.BACK, context.nowUs(), 0);
            context.queue.after(
                    backUs - context.nowUs(), () -> caller.deliver(() -> callback.onComplete(result, 0, "")));
        });
    }

    @Override
    public OutboundRequest send(String serverName, long requestId, boolean isFirstOnConnection, Callback callback) {
        SimulatedServer server = context.server(serverName);
        InFlightMessage message = new InFlightMessage(
                context,
                server,
                serverLinks.get(server.number()),
                node.process(),
                requestId,
                isFirstOnConnection,
                callback);
        message.start();
        return message;
    }

    @Override
    public void closeIdleConnection(String server) {
        context.server(server).model().connectionClosed();
    }

    @Override
    public void respond(long requestId, int status, String body) {
        if (clientLink.isCut(Direction.BACK)) {
            return;
        }
        long dueUs = clientLink.streamDueUs(Direction.BACK, context.nowUs(), MESSAGE_BYTES);
        context.queue.after(dueUs - context.nowUs(), () -> context.clients.receive(requestId, status, body));
    }

    @Override
    public void balancerFailed(RuntimeException exception) {
        context.checker.processDied(context.nowUs(), node.name(), "failed in a call of its module: " + exception);
    }
}
