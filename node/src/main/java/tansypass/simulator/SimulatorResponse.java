package tansypass.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import tansypass.balancer.LoadBalancerActions;

/**
 * Writes the actions of the instance whose event is being processed. The response to a batch is buffered until the
 * batch ends, so it is written completely or not at all. Not thread-safe.
 */
final class SimulatorResponse implements LoadBalancerActions {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    /** Number of hexadecimal digits in a request id. */
    private static final int ID_DIGITS = 16;

    private static final int MAX_LONG_DIGITS = 20;
    private static final int MAX_UTF8_BYTES_PER_CHAR = 3;
    private static final int ASCII_LIMIT = 128;
    private static final byte[] HEX_DIGITS = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    private final OutputStream out;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int bufferedBytes;
    private String node = "";

    SimulatorResponse(OutputStream out) {
        this.out = out;
    }

    /** Sets the name of the instance that the actions after this call belong to. */
    void setNode(String instanceName) {
        node = instanceName;
    }

    /** Completes the response to a batch and writes it. */
    void flush() throws IOException {
        append("next\n");
        out.write(buffer, 0, bufferedBytes);
        out.flush();
        bufferedBytes = 0;
    }

    @Override
    public void send(long requestId, String serverId, long deadlineUs) {
        beginLine("route");
        appendHandle(requestId);
        append(" server=");
        append(serverId);
        append(" untilUs=");
        appendNumber(deadlineUs);
        endLine();
    }

    @Override
    public void setAttemptDeadline(long requestId, int attempt, long deadlineUs) {
        throw new UnsupportedOperationException("the simulator sends complete requests");
    }

    @Override
    public void cancel(long requestId, int attempt) {
        beginLine("abort_attempt");
        appendHandle(requestId);
        append(" seqNo=");
        appendNumber(attempt);
        endLine();
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        beginLine("decline");
        appendHandle(requestId);
        if (retryAfterUs > 0) {
            append(" retryInUs=");
            appendNumber(retryAfterUs);
        }
        endLine();
    }

    @Override
    public void fail(long requestId) {
        beginLine("lose");
        appendHandle(requestId);
        endLine();
    }

    @Override
    public void scheduleTimer(long atUs) {
        beginLine("remind");
        append(" dueAtUs=");
        appendNumber(atUs);
        append(" label=w");
        endLine();
    }

    @Override
    public void probe(String serverId) {
        beginLine("sound_out");
        append(" server=");
        append(serverId);
        endLine();
    }

    @Override
    public void subscribe() {
        beginLine("track");
        append(" want=1");
        endLine();
    }

    @Override
    public void onNoServerReady(int listed) {
        log("no server is ready, of " + listed + " on the list");
    }

    @Override
    public void onServerEjected(String serverId, int failures) {
        log("ejected server " + serverId + " after " + failures + " failures");
    }

    @Override
    public void onServerRestored(String serverId) {
        log("restored server " + serverId);
    }

    /** Writes a text to the simulator's log. */
    void log(String text) {
        beginLine("record");
        appendNoteText(text);
    }

    /** Reports an exception that the load balancer has thrown; the simulation ends with this text. */
    void reportFault(String text) {
        beginLine("fault");
        appendNoteText(text);
    }

    private void appendNoteText(String text) {
        append(" noteText=");
        append(text.replace('\n', ' ').replace('\r', ' '));
        endLine();
    }

    private void beginLine(String action) {
        append(action);
        append(" node=");
        append(node);
    }

    private void endLine() {
        ensureCapacity(1);
        buffer[bufferedBytes++] = '\n';
    }

    private void appendHandle(long id) {
        append(" handle=");
        ensureCapacity(ID_DIGITS);
        for (int shift = Long.SIZE - 4; shift >= 0; shift -= 4) {
            buffer[bufferedBytes++] = HEX_DIGITS[(int) (id >>> shift) & 15];
        }
    }

    private void append(String text) {
        int length = text.length();
        ensureCapacity(MAX_UTF8_BYTES_PER_CHAR * length);
        for (int i = 0; i < length; i++) {
            char c = text.charAt(i);
            if (c >= ASCII_LIMIT) {
                byte[] rest = text.substring(i).getBytes(StandardCharsets.UTF_8);
                System.arraycopy(rest, 0, buffer, bufferedBytes, rest.length);
                bufferedBytes += rest.length;
                return;
            }
            buffer[bufferedBytes++] = (byte) c;
        }
    }

    private void appendNumber(long value) {
        if (value < 0) {
            append(Long.toString(value));
            return;
        }
        ensureCapacity(MAX_LONG_DIGITS);
        int digits = 1;
        for (long remaining = value; remaining >= 10; remaining /= 10) {
            digits++;
        }
        int position = bufferedBytes + digits;
        bufferedBytes = position;
        long remaining = value;
        do {
            buffer[--position] = (byte) ('0' + remaining % 10);
            remaining /= 10;
        } while (remaining > 0);
    }

    private void ensureCapacity(int bytes) {
        if (bufferedBytes + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, bufferedBytes + bytes));
        }
    }
}
