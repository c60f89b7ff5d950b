package tansypass.node.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import org.junit.jupiter.api.Test;

/** The request of a health check, which web servers match by its path. */
class HealthProbeTest {
    @Test
    void pathAndHostStayAsRecorded() {
        HttpRequest message = new HealthProbe(null, "server").createMessage();
        assertEquals(
                "GET /health backend.local",
                message.method() + " " + message.uri() + " " + message.headers().get(HttpHeaderNames.HOST));
    }
}
