package cedarrelay.node;

import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;

/**
 * A listening socket on an address that another process of this node may listen on too: the system shares
 * new connections out among them.
 */
final class SharedListener extends NioServerSocketChannel {
    private static final long LOOK_MS = 1;

    SharedListener() {
        config().setOption(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }

    /**
     * Takes all connections that wait to be accepted, closes, and runs {@code whenClosed}. What still waits
     * when a listening socket closes is reset, so nothing may come between the last look and the close. Java
     * closes a socket that a selector watches only when the selector next wakes up: it is taken from there
     * first.
     */
    void closeEmptied(Runnable whenClosed) {
        deregister().addListener(done -> emptyOnceUnwatched(whenClosed));
    }

    private void emptyOnceUnwatched(Runnable whenClosed) {
        if (javaChannel().isOpen() && javaChannel().isRegistered()) {
            eventLoop().schedule(() -> emptyOnceUnwatched(whenClosed), LOOK_MS, TimeUnit.MILLISECONDS);
            return;
        }
        List<Object> accepted = new ArrayList<>();
        try {
            while (doReadMessages(accepted) > 0) {
                continue;
            }
            javaChannel().close();
        } catch (Exception e) {
            // Out of descriptors, say. What has been accepted is served all the same.
            pipeline().fireExceptionCaught(e);
        }
        accepted.forEach(pipeline()::fireChannelRead);
        close();
        whenClosed.run();
    }
}
