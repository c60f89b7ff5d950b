package tansypass.node.admin;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.LongSupplier;

/**
 * The counters of this process since its start, and the gauges of its present state. The node's event loop updates
 * them. Any thread may read them.
 */
public final class NodeMetrics {

    /** The outcome of a request for its client. {@link #format} defines the external names. */
    public enum Outcome {
        SERVED,
        REFUSED,
        FAILED;

        /** Returns the outcome of a request that was answered with a status. */
        public static Outcome of(HttpResponseStatus status) {
            return switch (status.code()) {
                case 200 -> SERVED;
                case 429, 503 -> REFUSED;
                default -> FAILED;
            };
        }
    }

    /** Why the node has ended an exchange whose long body was being streamed. {@link #format} has external names. */
    public enum AbortReason {
        /** The client has accepted nothing of the response for too long. */
        CLIENT_STALLED,
        /** The server has accepted nothing of the request, or sent nothing of the response, for too long. */
        SERVER_STALLED,
        /** The server has sent the response below the lowest accepted rate, or too much of it. */
        RESPONSE_TOO_SLOW
    }

    private static final AbortReason[] ABORT_REASONS = AbortReason.values();
    private static final CloseReason[] CLOSE_REASONS = CloseReason.values();
    private static final Outcome[] OUTCOMES = Outcome.values();

    private final List<String> classNames;
    private final AtomicLongArray responses;
    private final AtomicLong attempts = new AtomicLong();
    private final AtomicLong retries = new AtomicLong();
    private final AtomicLong inFlight = new AtomicLong();
    private final AtomicLong abandoned = new AtomicLong();
    private final AtomicLongArray aborts = new AtomicLongArray(ABORT_REASONS.length);
    private final AtomicLongArray closes = new AtomicLongArray(CLOSE_REASONS.length);
    private final MemoryGauges memory;
    private volatile LongSupplier heapBuffers = () -> 0;
    private volatile int clientConnections;
    private volatile long maxEventLoopBusyMs;
    private volatile int knownServers;
    private volatile int excludedServers;

    /** Creates metrics that are all 0, with a counter for each outcome of each class. */
    public NodeMetrics(List<String> classNames) {
        this(classNames, MemoryGauges.ofProcess());
    }

    /** Creates metrics that are all 0, with other sources of the memory in use. */
    public NodeMetrics(List<String> classNames, MemoryGauges memory) {
        this.classNames = List.copyOf(classNames);
        this.memory = memory;
        responses = new AtomicLongArray(classNames.size() * OUTCOMES.length);
    }

    /** Records that a client's request was received completely. */
    public void recordReceived() {
        inFlight.getAndIncrement();
    }

    /** Records that the last byte of a response was written. */
    public void recordResponse(int classIndex, Outcome outcome) {
        responses.getAndIncrement(classIndex * OUTCOMES.length + outcome.ordinal());
    }

    /** Records that a request, after it was received completely, has ended with or without a response. */
    public void recordFinished() {
        inFlight.getAndDecrement();
    }

    /** Records that a request was written completely to a server. */
    public void recordAttempt() {
        attempts.getAndIncrement();
    }

    /** Records that an attempt other than a request's first one was passed to the connections to servers. */
    public void recordRetry() {
        retries.getAndIncrement();
    }

    /** Records that the node has ended a client's connection. */
    public void recordClose(CloseReason reason) {
        closes.getAndIncrement(reason.ordinal());
    }

    /** Sets the number of open client connections. */
    public void setClientConnections(int count) {
        clientConnections = count;
    }

    /** Records that a client disconnected before any of its request was forwarded. */
    public void recordAbandoned() {
        abandoned.getAndIncrement();
    }

    /** Records that the node has ended an exchange while a long body was being streamed. */
    public void recordAbort(AbortReason reason) {
        aborts.getAndIncrement(reason.ordinal());
    }

    /** Sets the number of servers on the endpoint list, and the number of those that are excluded at present. */
    public void setServerCounts(int known, int excluded) {
        knownServers = known;
        excludedServers = excluded;
    }

    /** Records how long the event loop was busy between two polls. Must be called on the event loop only. */
    public void recordEventLoopBusy(long busyMs) {
        maxEventLoopBusyMs = Math.max(maxEventLoopBusyMs, busyMs);
    }

    /**
     * Sets the source of the heap memory of buffered input.
     *
     * @param gauge returns the bytes in use; called on any thread
     */
    public void setHeapBufferGauge(LongSupplier gauge) {
        heapBuffers = gauge;
    }

    /** Formats all metrics as lines of {@code node.name=value}. */
    public String format() {
        StringBuilder text = new StringBuilder();
        for (int classIndex = 0; classIndex < classNames.size(); classIndex++) {
            for (Outcome outcome : OUTCOMES) {
                appendLine(
                        text,
                        "requests." + classNames.get(classIndex) + '.' + externalName(outcome),
                        responses.get(classIndex * OUTCOMES.length + outcome.ordinal()));
            }
        }
        appendLine(text, "attempts", attempts.get());
        appendLine(text, "retries", retries.get());
        appendLine(text, "in_flight", inFlight.get());
        appendLine(text, "abandoned", abandoned.get());
        appendLine(text, "web_servers_known", knownServers);
        appendLine(text, "web_servers_excluded", excludedServers);
        for (AbortReason reason : ABORT_REASONS) {
            appendLine(text, "aborted." + externalName(reason), aborts.get(reason.ordinal()));
        }
        for (CloseReason reason : CLOSE_REASONS) {
            appendLine(text, "closed." + reason.externalName(), closes.get(reason.ordinal()));
        }
        appendLine(text, "client_connections", clientConnections);
        appendLine(text, "heap_buffer_bytes", heapBuffers.getAsLong());
        appendLine(text, "heap_used_bytes", memory.heapUsed().getAsLong());
        appendLine(text, "heap_limit_bytes", memory.heapLimit());
        appendLine(text, "direct_memory_bytes", memory.directUsed().getAsLong());
        appendLine(text, "direct_memory_limit_bytes", memory.directLimit());
        appendLine(text, "event_loop_busy_max_ms", maxEventLoopBusyMs);
        return text.toString();
    }

    private static String externalName(Outcome outcome) {
        return switch (outcome) {
            case SERVED -> "served";
            case REFUSED -> "refused";
            case FAILED -> "failed";
        };
    }

    private static String externalName(AbortReason reason) {
        return switch (reason) {
            case CLIENT_STALLED -> "client_stalled";
            case SERVER_STALLED -> "web_server_stalled";
            case RESPONSE_TOO_SLOW -> "response_too_slow";
        };
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append("node.").append(name).append('=').append(value).append('\n');
    }
}
