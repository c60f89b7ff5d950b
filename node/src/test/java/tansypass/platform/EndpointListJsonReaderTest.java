package tansypass.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tansypass.balancer.ServerState;
import tansypass.node.endpoint.EndpointList;

/** Parsing of endpoint lists with duplicate entries and with thousands of entries. */
class EndpointListJsonReaderTest {
    private static final Logger LOG = Logger.getLogger(EndpointList.class.getName());
    private final List<String> loggedMessages = new ArrayList<>();
    private final Handler logHandler = new Handler() {
        @Override
        public void publish(LogRecord logRecord) {
            loggedMessages.add(new SimpleFormatter().formatMessage(logRecord));
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void captureLog() {
        LOG.addHandler(logHandler);
    }

    @AfterEach
    void releaseLog() {
        LOG.removeHandler(logHandler);
    }

    private static String formatEntry(String id, int port, String state) {
        return "{\"uid\":\"" + id + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"state\":\"" + state + "\"}";
    }

    private static EndpointList parseList(String entries) throws MalformedEndpointListException {
        return EndpointListJsonReader.read("{\"rev\":7,\"all\":true,\"targets\":[" + entries + "]}");
    }

    @Test
    void theLastOfConflictingEntriesWinsAndIsLogged() throws MalformedEndpointListException {
        EndpointList list = parseList(formatEntry("a", 1, "Ready") + "," + formatEntry("b", 2, "Ready") + ","
                + formatEntry("a", 3, "Terminating"));
        assertEquals(
                List.of("a", "b"),
                list.endpoints().stream().map(EndpointList.Endpoint::id).toList());
        assertEquals(3, list.endpoints().get(0).address().getPort());
        assertEquals(ServerState.DRAINING, list.endpoints().get(0).state());
        assertEquals(
                List.of("conflicting entries in endpoint list, last one wins: revision=7 server=a"), loggedMessages);
    }

    @Test
    void identicalDuplicateEntriesAreNotLogged() throws MalformedEndpointListException {
        assertEquals(
                1,
                parseList(formatEntry("a", 1, "Ready") + "," + formatEntry("a", 1, "Ready"))
                        .endpoints()
                        .size());
        assertEquals(List.of(), loggedMessages);
    }

    @Test
    void thousandsOfEntriesKeepTheirOrder() throws MalformedEndpointListException {
        String entries = IntStream.range(0, 5_000)
                .mapToObj(i -> formatEntry("s" + i, 1 + i, "Ready"))
                .collect(Collectors.joining(","));
        EndpointList list = parseList(entries);
        assertEquals(5_000, list.endpoints().size());
        assertTrue(IntStream.range(0, 5_000)
                .allMatch(i -> list.endpoints().get(i).id().equals("s" + i)));
        assertTrue(parseList(entries).equals(list));
    }
}
