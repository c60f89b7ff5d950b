package tansypass.node;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A fake discovery agent that sends each watch all published lines, and a heartbeat at regular intervals. */
final class FakeDiscovery implements Closeable {
    private static final long HEARTBEAT_MS = 300;

    final FakePeer peer;
    private final List<Socket> watches = new ArrayList<>();
    private final List<String> published = new ArrayList<>();
    private final CountDownLatch closed = new CountDownLatch(1);

    FakeDiscovery() throws IOException {
        peer = new FakePeer((socket, request) -> {
            synchronized (watches) {
                watches.add(socket);
                Fixture.beginWatch(socket);
                for (String line : published) {
                    Fixture.writeWatchLine(socket, line);
                }
            }
        });
        Thread heartbeats = new Thread(() -> {
            try {
                while (!closed.await(HEARTBEAT_MS, TimeUnit.MILLISECONDS)) {
                    writeToWatches("");
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        heartbeats.setDaemon(true);
        heartbeats.start();
    }

    /** Sends a line to all current and future watches. */
    void publish(String line) {
        synchronized (watches) {
            published.add(line);
            writeToWatches(line);
        }
    }

    private void writeToWatches(String line) {
        synchronized (watches) {
            watches.removeIf(watch -> {
                try {
                    Fixture.writeWatchLine(watch, line);
                    return false;
                } catch (IOException e) {
                    return true;
                }
            });
        }
    }

    /** Sends the first half of a line, and nothing after it, to all current watches. */
    void writePartialLine(String line) throws IOException {
        synchronized (watches) {
            for (Socket watch : watches) {
                FakePeer.write(
                        watch, Integer.toHexString(line.length() + 1) + "\r\n" + line.substring(0, line.length() / 2));
            }
            watches.clear();
        }
    }

    /** Closes the connections of all current watches. */
    void breakWatches() throws IOException {
        synchronized (watches) {
            for (Socket watch : watches) {
                watch.close();
            }
            watches.clear();
        }
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        peer.close();
    }
}
