package tansypass.testbed.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.model.ClientLoadBalancer;
import tansypass.testbed.model.LinkState;
import tansypass.testbed.model.LinkState.Direction;
import tansypass.testbed.model.PoissonArrivals;
import tansypass.testbed.scenario.Scenario.RequestClass;

/** The clients of a simulated run, which send requests in an open loop and wait for their responses. */
final class SimulatedClients {
    private final SimulationContext context;
    private final InvariantChecker checker;
    /** By request id, the clients that wait for their response. */
    private final Map<String, Client> waitingClients = new LinkedHashMap<>();
    /**
     * By request id, the class of the request. An entry stays until the client's timeout, because an attempt can reach
     * a server after the client has received its response.
     */
    private final Map<String, RequestClass> classesById = new HashMap<>();

    /** A client with one request, sent to one process of a node. */
    private record Client(String id, int node, int generation) {
        long requestId() {
            return HexFormat.fromHexDigitsToLong(id);
        }
    }

    SimulatedClients(SimulationContext context) {
        this.context = context;
        checker = context.checker;
    }

    /** Starts to send requests, for the length of the scenario. */
    void start() {
        PoissonArrivals arrivals = new PoissonArrivals(
                context.scenario.clients().requestsPerS(),
                context.scenario.classes(),
                0,
                RandomStreams.of(context.seed, "load"));
        scheduleNext(arrivals);
    }

    private void scheduleNext(PoissonArrivals arrivals) {
        long dueUs = arrivals.nextArrivalUs();
        if (dueUs >= context.scenario.lengthUs()) {
            return;
        }
        context.queue.after(dueUs - context.nowUs(), () -> {
            send(arrivals.nextClass(), arrivals.nextId(), dueUs);
            scheduleNext(arrivals);
        });
    }

    private void send(RequestClass requestClass, long requestId, long intendedUs) {
        int number = context.clientLoadBalancer.selectNode();
        if (number == ClientLoadBalancer.NO_NODE
                || waitingClients.size() >= context.scenario.clients().maxOpenRequests()) {
            checker.requestNotSent(context.nowUs(), intendedUs);
            return;
        }
        SimulatedNodeHandle node = context.nodes.get(number);
        LinkState link = node.network().clientLink();
        String id = HexFormat.of().toHexDigits(requestId);
        long deadlineUs = context.nowUs() + requestClass.deadlineUs();
        checker.requestSent(context.nowUs(), id, requestClass, number, intendedUs, deadlineUs);
        if (!node.isAlive() || link.isReset()) {
            checker.connectionRefused(context.nowUs(), id);
            return;
        }
        Client client = new Client(id, number, node.generation());
        waitingClients.put(id, client);
        classesById.put(id, requestClass);
        context.queue.after(InvariantChecker.responseTimeoutAtUs(deadlineUs) - context.nowUs(), () -> timeOut(client));
        if (!link.isCut(Direction.THERE)) {
            long dueUs = link.streamDueUs(Direction.THERE, context.nowUs(), SimulatedNodeNetwork.MESSAGE_BYTES);
            SimulatedProcess receiver = node.process();
            context.queue.after(
                    dueUs - context.nowUs(),
                    () -> receiver.deliver(() -> deliver(node, requestClass, requestId, deadlineUs)));
        }
    }

    private void deliver(SimulatedNodeHandle node, RequestClass requestClass, long requestId, long deadlineUs) {
        int classIndex = context.scenario.classes().indexOf(requestClass);
        node.node().onRequest(requestId, classIndex, Math.max(0, deadlineUs - context.nowUs()));
    }

    private void timeOut(Client client) {
        classesById.remove(client.id);
        if (waitingClients.remove(client.id, client)) {
            checker.responseTimedOut(context.nowUs(), client.id);
        }
    }

    /** Delivers a response to its client, or drops it if the client no longer waits. */
    void receive(long requestId, int status, String body) {
        String id = HexFormat.of().toHexDigits(requestId);
        if (waitingClients.remove(id) != null) {
            checker.responseReceived(context.nowUs(), id, status, body);
        }
    }

    /** Breaks the connections to a process of a node, which was killed. */
    void breakConnections(int node, int generation) {
        for (Client client : new ArrayList<>(waitingClients.values())) {
            if (client.node == node && client.generation == generation) {
                waitingClients.remove(client.id);
                checker.connectionBroken(context.nowUs(), client.id, false);
            }
        }
    }

    /** Resets the connections on the link to a node, and notifies both the clients and the node. */
    void resetConnections(SimulatedNodeHandle node) {
        for (Client client : List.copyOf(waitingClients.values())) {
            if (client.node == node.number() && node.isAlive()) {
                waitingClients.remove(client.id);
                checker.connectionBroken(context.nowUs(), client.id, false);
                node.process().deliver(() -> node.node().onClientDisconnect(client.requestId()));
            }
        }
    }

    /** Returns the class of a request, or the first class if no client sent this request. */
    RequestClass classOf(String id) {
        return classesById.getOrDefault(id, context.scenario.classes().get(0));
    }
}
