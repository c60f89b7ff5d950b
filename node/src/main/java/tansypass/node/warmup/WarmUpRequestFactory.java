package tansypass.node.warmup;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import tansypass.balancer.BalancerSettings;
import tansypass.balancer.Idempotency;
import tansypass.balancer.RequestClass;
import tansypass.node.frontend.HttpFrontend;

/** Creates the requests of a warm-up, in a rotation of the request classes. Immutable. */
public final class WarmUpRequestFactory {
    private static final int REMAINING_TIME_MS = 3_000;
    private static final String BODY = "body";
    private static final String LINE_END = "\r\n";

    private final BalancerSettings settings;
    private final String token;

    /**
     * Creates a factory for the classes and tenants of the settings.
     *
     * @param token the token by which the node to warm up recognises the requests
     */
    public WarmUpRequestFactory(BalancerSettings settings, String token) {
        this.settings = settings;
        this.token = token;
    }

    /**
     * Creates an encoded request, which the caller must release.
     *
     * @param number the number of the request, counted from 0; also used as the request's id
     */
    ByteBuf create(int number) {
        RequestClass requestClass =
                settings.classes().get(number % settings.classes().size());
        boolean isGet = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        StringBuilder text = new StringBuilder();
        appendLine(text, (isGet ? "GET" : "POST") + " /" + requestClass.name() + " HTTP/1.1");
        appendLine(text, "Host: backend.local");
        appendLine(text, "X-Txn: " + HexFormat.of().toHexDigits((long) number));
        if (!settings.tenants().isEmpty()) {
            appendLine(text, "X-Org: " + settings.tenants().get(0).name());
        }
        appendLine(text, "Cookie: key=1");
        appendLine(text, "X-Remaining-Ms: " + REMAINING_TIME_MS);
        appendLine(text, HttpFrontend.WARM_UP_HEADER + ": " + token);
        if (!isGet) {
            appendLine(text, "Content-Length: " + BODY.length());
        }
        if (requestClass.idempotency() == Idempotency.KEYED) {
            appendLine(text, "Idempotency-Key: " + number);
        }
        appendLine(text, "");
        text.append(isGet ? "" : BODY);
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private static void appendLine(StringBuilder text, String line) {
        text.append(line).append(LINE_END);
    }
}
