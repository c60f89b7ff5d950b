package tansypass.node.frontend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.HashMap;
import java.util.Map;
import tansypass.balancer.BalancerSettings;
import tansypass.balancer.Idempotency;
import tansypass.balancer.RequestClass;
import tansypass.node.http.BadRequestException;
import tansypass.node.http.RequestBody;

/** Parses the heads of clients' requests according to the classes and tenants of the settings. Immutable. */
public final class ClientRequestParser {
    private static final String ID_HEADER = "X-Txn";
    private static final String TENANT_HEADER = "X-Org";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String RETRY_HEADER = "X-Resent";
    private static final String ESTIMATE_HEADER = "X-Estimate";
    /** Headers that are valid for one connection only, or that the node sets itself in the message to a server. */
    private static final CharSequence[] HOP_BY_HOP_HEADERS = {
        HttpHeaderNames.CONNECTION,
        "Keep-Alive",
        HttpHeaderNames.PROXY_AUTHORIZATION,
        HttpHeaderNames.TE,
        HttpHeaderNames.TRAILER,
        HttpHeaderNames.TRANSFER_ENCODING,
        HttpHeaderNames.UPGRADE,
        HttpHeaderNames.EXPECT,
        HttpHeaderNames.CONTENT_LENGTH,
        ClientRequest.REMAINING_TIME_HEADER
    };

    private static final int NO_TENANT = -1;
    /**
     * Numbers with more digits are rejected: so many milliseconds, over eleven days, can't be a client's waiting
     * time.
     */
    private static final int MAX_REMAINING_DIGITS = 9;

    private static final int MAX_ESTIMATE_DIGITS = 12;
    private static final long US_PER_MS = 1_000;

    private final BalancerSettings settings;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Integer> tenantIndexes = new HashMap<>();

    /** Creates a parser for the classes and tenants of the settings. */
    public ClientRequestParser(BalancerSettings settings) {
        this.settings = settings;
        settings.classes().forEach(requestClass -> classIndexes.put(requestClass.name(), classIndexes.size()));
        settings.tenants().forEach(tenant -> tenantIndexes.put(tenant.name(), tenantIndexes.size()));
    }

    /**
     * Parses a head.
     *
     * @param body receives the body of the request
     * @throws BadRequestException if a header is missing or invalid; it holds the status of the response
     */
    ClientRequest parse(HttpRequest head, RequestBody body) throws BadRequestException {
        HttpHeaders headers = head.headers();
        int classIndex = parseClass(head);
        int tenant = parseTenant(headers);
        long remainingMs = parseRemainingMs(headers);
        long workUs = Math.max(0, parseDigits(headers.get(ESTIMATE_HEADER), MAX_ESTIMATE_DIGITS));
        HttpHeaders forwarded = copyEndToEndHeaders(headers);
        return new ClientRequest(
                parseId(headers),
                classIndex,
                tenant,
                US_PER_MS * remainingMs,
                workUs,
                "1".equals(headers.get(RETRY_HEADER)),
                head.method(),
                head.uri(),
                forwarded,
                HttpUtil.getContentLength(head, -1L),
                body);
    }

    /**
     * Returns the index of the request's class, and checks that the request has the method and the idempotency key
     * that the class requires.
     */
    private int parseClass(HttpRequest head) throws BadRequestException {
        Integer classIndex = classIndexes.get(firstPathSegment(head.uri()));
        if (classIndex == null) {
            throw new BadRequestException(HttpResponseStatus.NOT_FOUND, "unknown class of request");
        }
        RequestClass requestClass = settings.classes().get(classIndex);
        HttpMethod method = requestClass.idempotency() == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        if (!head.method().equals(method)) {
            throw new BadRequestException(HttpResponseStatus.METHOD_NOT_ALLOWED, "use " + method);
        }
        if (requestClass.idempotency() == Idempotency.KEYED && !head.headers().contains(IDEMPOTENCY_KEY_HEADER)) {
            throw badRequest(IDEMPOTENCY_KEY_HEADER + " is missing");
        }
        return classIndex;
    }

    private static String firstPathSegment(String uri) {
        int end = 1;
        while (end < uri.length() && "/?#".indexOf(uri.charAt(end)) < 0) {
            end++;
        }
        return uri.startsWith("/") ? uri.substring(1, end) : "";
    }

    private int parseTenant(HttpHeaders headers) throws BadRequestException {
        String name = headers.get(TENANT_HEADER);
        if (name == null) {
            return NO_TENANT;
        }
        Integer index = tenantIndexes.get(name);
        if (index == null) {
            throw badRequest("unknown " + TENANT_HEADER);
        }
        return index;
    }

    private static long parseRemainingMs(HttpHeaders headers) throws BadRequestException {
        long remainingMs = parseDigits(headers.get(ClientRequest.REMAINING_TIME_HEADER), MAX_REMAINING_DIGITS);
        if (remainingMs < 0) {
            throw badRequest(ClientRequest.REMAINING_TIME_HEADER + " is missing or no whole number of milliseconds");
        }
        return remainingMs;
    }

    private static HttpHeaders copyEndToEndHeaders(HttpHeaders headers) {
        HttpHeaders forwarded = headers.copy();
        for (String connectionHeader : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : connectionHeader.split(",")) {
                String name = token.trim();
                if (!name.isEmpty()
                        && !name.equalsIgnoreCase(ID_HEADER)
                        && !name.equalsIgnoreCase(IDEMPOTENCY_KEY_HEADER)) {
                    forwarded.remove(name);
                }
            }
        }
        for (CharSequence name : HOP_BY_HOP_HEADERS) {
            forwarded.remove(name);
        }
        return forwarded;
    }

    private static long parseId(HttpHeaders headers) throws BadRequestException {
        String id = headers.get(ID_HEADER);
        if (id == null
                || !id.matches("[0-9a-fA-F]{16}")
                || headers.getAll(ID_HEADER).size() > 1) {
            throw badRequest(ID_HEADER + " is missing or not 16 hex digits");
        }
        return Long.parseUnsignedLong(id, 16);
    }

    /** Parses a number of plain decimal digits; returns -1 if it is missing, malformed or too long. */
    private static long parseDigits(String text, int maxDigits) {
        if (text == null || text.isEmpty() || text.length() > maxDigits) {
            return -1;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return -1;
            }
        }
        return Long.parseLong(text);
    }

    private static BadRequestException badRequest(String reason) {
        return new BadRequestException(HttpResponseStatus.BAD_REQUEST, reason);
    }
}
