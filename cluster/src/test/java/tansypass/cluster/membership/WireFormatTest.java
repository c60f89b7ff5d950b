package tansypass.cluster.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Lists the names that the wire format, the view page and the metrics contain. Processes of other versions, scripts and
 * dashboards read them, so a rename in the code must not change them.
 */
class WireFormatTest {
    private static final String MEMBER = "{'name':'n','gen':5,'nonce':6,'zone':'z','role':'node','at':'127.0.0.2:7',"
            + "'old':1,'new':2,'state':'suspect','inc':3,'by':'m','away':true}";
    private static final String ENVELOPE =
            "'deployment':'d','version':1,'from':'f','generation':4,'digest':'0a','news':[" + MEMBER + "]";

    private final Identity identity =
            new Identity("n", 5, 6, "z", Role.NODE, new InetSocketAddress("127.0.0.2", 7), "d", 1, 2);
    private final Member member = new Member(identity, MemberState.SUSPECT, 3, "m", true);
    private final Message.Envelope envelope = new Message.Envelope("d", 1, "f", 4, "0a", List.of(member));
    private final MessageCodec codec = new MessageCodec();

    private void assertDatagram(String fields, Message message) throws IOException, MalformedMessageException {
        byte[] datagram = codec.encode(message);
        String json = new ObjectMapper(new CBORFactory()).readTree(datagram).toString();
        assertEquals("{" + fields + "," + ENVELOPE + "}", json.replace('"', '\''));
        assertEquals(message.getClass(), codec.decode(datagram).getClass());
    }

    @Test
    void keepsKindsAndKeysOfDatagrams() throws IOException, MalformedMessageException {
        assertDatagram("'kind':'Ping','number':9,'target':'t'", new Message.Ping(envelope, 9, "t"));
        assertDatagram("'kind':'PingRequest','number':9,'target':'t'", new Message.PingRequest(envelope, 9, "t"));
        assertDatagram("'kind':'Ack','number':9", new Message.Ack(envelope, 9));
        assertDatagram("'kind':'Nack','number':9", new Message.Nack(envelope, 9));
        assertDatagram("'kind':'Gossip'", new Message.Gossip(envelope));
    }

    @Test
    void keepsKeysOfViewsAndViewPage() {
        assertEquals(
                "{" + ENVELOPE + "}",
                new String(codec.encodeView(envelope), StandardCharsets.UTF_8).replace('"', '\''));
        for (String standing : List.of("joined", "joining", "outside")) {
            MembershipView view = new MembershipView(
                    8, "0b", 9_000, standing.equals("joined"), 2_000, List.of(member), Map.of("n", 5_000L));
            assertEquals(
                    "{'name':'n','deployment':'d','version':8,'digest':'0b','standing':'" + standing
                            + "','health_factor':2,'disagreed_ms':7,'members':["
                            + MEMBER.replace("}", ",'for_ms':4}") + "]}",
                    new String(
                                    codec.encodeViewPage(identity, view, standing.equals("outside"), 2),
                                    StandardCharsets.UTF_8)
                            .replace('"', '\''));
        }
    }

    @Test
    void keepsNamesOfStatesRolesAndCounters() {
        assertEquals("[ALIVE, SUSPECT, FAILED, LEFT]", Arrays.toString(MemberState.values()));
        assertEquals("[NODE, REGISTRY]", Arrays.toString(Role.values()));
        assertEquals(
                "[dropped_busy, dropped_deployment, dropped_full, dropped_malformed, dropped_version, exchanges, "
                        + "exchanges_failed, failed, help_asked, name_conflicts, probes, probes_failed, refuted, "
                        + "suspected, views_compared]",
                new MembershipCounters().all().keySet().toString());
    }
}
