package tansypass.cluster.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Lists the HTTP paths and the host of the membership protocol: nodes of other versions and scripts use them. */
class ExternalNamesTest {
    @Test
    void keepsPathsAndHost() {
        FullHttpRequest request = new EmbeddedChannel(new PushPullCall(new byte[0], view -> {})).readOutbound();
        assertEquals(
                List.of("/fleet/v1/exchange", "fleet", "/fleet/v1/view"),
                List.of(request.uri(), request.headers().get("host"), ClusterTransport.VIEW_PATH));
        request.release();
    }
}
