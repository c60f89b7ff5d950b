package tansypass.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The output of a child process, decoded as UTF-8. A daemon thread reads it, because a read of a pipe blocks while
 * the process prints nothing and can't be interrupted. The test takes what has been read from a queue, with a
 * deadline.
 *
 * <p>All methods are for the thread of the test.
 */
final class ProcessOutput {
    private static final int BUFFER_CHARS = 8_192;
    /** The last element of the queue. A chunk of the output is never empty. */
    private static final String END_OF_OUTPUT = "";

    private final BlockingQueue<String> chunks = new LinkedBlockingQueue<>();
    private final StringBuilder printed = new StringBuilder();
    private boolean ended;

    ProcessOutput(InputStream stream) {
        Thread reader =
                new Thread(() -> queueChunks(new InputStreamReader(stream, StandardCharsets.UTF_8)), "process-output");
        reader.setDaemon(true);
        reader.start();
    }

    private void queueChunks(Reader reader) {
        char[] buffer = new char[BUFFER_CHARS];
        try {
            for (int count = reader.read(buffer); count >= 0; count = reader.read(buffer)) {
                chunks.add(new String(buffer, 0, count));
            }
        } catch (IOException e) {
            chunks.add("[the output could not be read: " + e + "]");
        } finally {
            chunks.add(END_OF_OUTPUT);
        }
    }

    /**
     * Waits until the process has printed the text. Fails with the output in its message at the deadline, or when the
     * output ends before.
     */
    void awaitText(String expected, Duration limit) throws InterruptedException {
        long deadlineNs = System.nanoTime() + limit.toNanos();
        while (printed.indexOf(expected) < 0) {
            if (ended) {
                throw new AssertionError("ended without printing \"" + expected + "\"; it printed: " + printed);
            }
            receiveChunk(deadlineNs, "did not print \"" + expected + "\" within " + limit);
        }
    }

    /**
     * Waits for the end of the output and returns all of it. Fails at the deadline with the output so far in its
     * message.
     */
    String awaitEnd(Duration limit) throws InterruptedException {
        long deadlineNs = System.nanoTime() + limit.toNanos();
        while (!ended) {
            receiveChunk(deadlineNs, "did not end its output within " + limit);
        }
        return printed.toString();
    }

    private void receiveChunk(long deadlineNs, String failure) throws InterruptedException {
        String chunk = chunks.poll(deadlineNs - System.nanoTime(), TimeUnit.NANOSECONDS);
        if (chunk == null) {
            throw new AssertionError(failure + "; it printed: " + printed);
        }
        ended = chunk.equals(END_OF_OUTPUT);
        printed.append(chunk);
    }
}
