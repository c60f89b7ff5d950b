package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tansypass.balancer.LoadBalancer;
import tansypass.node.admin.NodeMetrics;
import tansypass.node.balancing.BalancerExecutor;
import tansypass.node.frontend.ClientRequestParser;
import tansypass.node.frontend.HttpFrontend;
import tansypass.node.lifecycle.DescriptorLimiter;
import tansypass.node.lifecycle.Lifecycle;
import tansypass.node.request.RequestDispatcher;
import tansypass.platform.EndpointListJsonReader;
import tansypass.platform.MalformedEndpointListException;
import tansypass.platform.NodeConfigJsonReader;

/** External names, recorded before any rename: a change here breaks operators or the platform. */
class ExternalNamesTest {
    private static final String ENTRY = "{\"uid\":\"s-1\",\"endpoint\":\"127.0.0.1:80\",\"az\":\"b\","
            + "\"pod_group\":4,\"state\":\"%s\",\"capacity_hint\":2.5,\"boot_ms\":99}";

    private static JsonObject list(String state) {
        return JsonParser.parseString("{\"rev\":7,\"all\":false,\"targets\":[" + ENTRY.formatted(state) + "]}")
                .getAsJsonObject();
    }

    @Test
    void lifecycleStatesStayAsRecorded() {
        assertEquals(
                List.of("STARTING", "TAKING", "LAME_DUCK", "STOPPING"),
                Arrays.stream(Lifecycle.State.values()).map(Object::toString).toList());
    }

    @Test
    void metricNamesStayAsRecorded() {
        assertEquals(
                List.of(
                        "node.requests.view.served",
                        "node.requests.view.refused",
                        "node.requests.view.failed",
                        "node.attempts",
                        "node.in_flight",
                        "node.abandoned",
                        "node.web_servers_known",
                        "node.web_servers_excluded"),
                new NodeMetrics(List.of("view"))
                        .format()
                        .lines()
                        .map(line -> line.substring(0, line.indexOf('=')))
                        .toList());
    }

    @Test
    void outcomesOfStatusesStayAsRecorded() {
        Map<String, String> outcomes = new TreeMap<>();
        for (int status : new int[] {200, 204, 302, 400, 429, 500, 502, 503, 504}) {
            outcomes.merge(
                    NodeMetrics.Outcome.of(HttpResponseStatus.valueOf(status)).name(), " " + status, String::concat);
        }
        assertEquals("{FAILED= 204 302 400 500 502 504, REFUSED= 429 503, SERVED= 200}", outcomes.toString());
    }

    @Test
    void endpointFieldsStayAsRecorded() throws MalformedEndpointListException {
        for (Map.Entry<String, String> state : Map.of("Ready", "READY", "Terminating", "DRAINING", "Gone", "GONE")
                .entrySet()) {
            assertEquals(
                    "7 false s-1 /127.0.0.1:80 b 4 " + state.getValue() + " 2.5 99",
                    values(EndpointListJsonReader.read(list(state.getKey())).toString()));
        }
    }

    @Test
    void bodiesOfErrorResponsesStayAsRecorded() throws Exception {
        BiConsumer<EmbeddedChannel, RequestDispatcher> passDeadline = (timers, dispatcher) -> {
            timers.advanceTimeBy(Fixture.REMAINING_MS, TimeUnit.MILLISECONDS);
            timers.runScheduledPendingTasks();
        };
        assertEquals(
                List.of(
                        "409 a request of this id is in hand\n",
                        "500 internal fault\n",
                        "502 failed\n",
                        "504 stopping\n",
                        "504 out of time\n"),
                List.of(
                        respond(false, (timers, dispatcher) -> {}, 1, 1),
                        respond(true, (timers, dispatcher) -> {}, 1),
                        respond(false, (timers, dispatcher) -> dispatcher.fail(1), 1),
                        respond(false, (timers, dispatcher) -> dispatcher.failUnanswered(), 1),
                        respond(false, passDeadline, 1)));
    }

    /**
     * Returns the status and body that the client of the last request gets after an action, with a load balancer that
     * does nothing or always throws.
     */
    private static String respond(
            boolean balancerThrows, BiConsumer<EmbeddedChannel, RequestDispatcher> action, long... requestIds)
            throws Exception {
        EmbeddedChannel timers = new EmbeddedChannel();
        EventLoop loop = timers.eventLoop();
        EmbeddedChannel client = null;
        NodeMetrics metrics = new NodeMetrics(List.of("view"));
        BalancerExecutor balancer = new BalancerExecutor(loop, metrics);
        balancer.setBalancer((LoadBalancer) Proxy.newProxyInstance(
                LoadBalancer.class.getClassLoader(),
                new Class<?>[] {LoadBalancer.class},
                (proxy, method, arguments) -> {
                    if (balancerThrows && method.getReturnType() == void.class) {
                        throw new IllegalStateException("thrown by the test");
                    }
                    return method.getReturnType() == int.class ? 0 : null;
                }));
        RequestDispatcher dispatcher = new RequestDispatcher(balancer, null, null, metrics);
        try (FakePeer discovery = new FakePeer(FakePeer.SILENT)) {
            ClientRequestParser parser = new ClientRequestParser(
                    NodeConfigJsonReader.read(Fixture.createConfig(discovery).toString(), Map.of())
                            .settings());
            HttpFrontend frontend = new HttpFrontend(
                    loop, new DescriptorLimiter(1_024), parser, new Lifecycle(), metrics, dispatcher::accept);
            for (long requestId : requestIds) {
                client = new EmbeddedChannel();
                frontend.addClientHandlers(client.pipeline());
                client.pipeline().fireChannelActive();
                client.writeInbound(Unpooled.copiedBuffer(
                        Fixture.formatRequest("GET", "/view", requestId, "", ""), StandardCharsets.US_ASCII));
            }
        }
        action.accept(timers, dispatcher);
        StringBuilder response = new StringBuilder();
        for (ByteBuf part = client.readOutbound(); part != null; part = client.readOutbound()) {
            response.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        String[] headAndBody = response.toString().split("\r\n\r\n", 2);
        return headAndBody[0].split(" ", 3)[1] + " " + headAndBody[1];
    }

    /** Returns the component values in a record's text, without the component names. */
    private static String values(String text) {
        return Arrays.stream(text.split("[\\[\\], ]+"))
                .map(part -> part.substring(part.indexOf('=') + 1))
                .filter(part -> !part.matches("|[A-Z][a-z]\\w*"))
                .collect(Collectors.joining(" "));
    }

    @ParameterizedTest
    @ValueSource(strings = {"rev", "all", "targets"})
    void aListWithoutARequiredKeyIsRejected(String key) {
        JsonObject list = list("Ready");
        list.remove(key);
        assertThrows(MalformedEndpointListException.class, () -> EndpointListJsonReader.read(list));
    }

    @ParameterizedTest
    @ValueSource(strings = {"uid", "endpoint", "state"})
    void anEndpointWithoutARequiredKeyIsRejected(String key) {
        JsonObject list = list("Ready");
        list.getAsJsonArray("targets").get(0).getAsJsonObject().remove(key);
        assertThrows(MalformedEndpointListException.class, () -> EndpointListJsonReader.read(list));
    }
}
