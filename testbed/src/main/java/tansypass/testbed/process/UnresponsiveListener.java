package tansypass.testbed.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A listening socket whose backlog is full. The operating system leaves further handshakes without a response, which
 * is what a client sees on a link that is cut.
 */
final class UnresponsiveListener {
    /** With a backlog of 1, the system accepts two connections and leaves the third handshake without a response. */
    private static final int FILLER_CONNECTIONS = 2;

    private final ServerSocketChannel listener;
    private final List<SocketChannel> fillerConnections = new ArrayList<>();

    /**
     * Listens at an address and fills the backlog.
     *
     * @throws BindException if the address is still in use; no socket is left open in this case
     */
    UnresponsiveListener(InetSocketAddress address) throws IOException {
        listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(address, 1);
        } catch (BindException e) {
            listener.close();
            throw e;
        }
        for (int i = 0; i < FILLER_CONNECTIONS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(address);
            fillerConnections.add(filler);
        }
    }

    /** Closes the listener and its connections; throws UncheckedIOException if one can't be closed. */
    void close() {
        try {
            for (SocketChannel filler : fillerConnections) {
                filler.close();
            }
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
