package cedarrelay.node;

import java.net.StandardSocketOptions;
import java.util.ArrayList;
import java.util.List;

import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;

/**
 * A listening socket on an address that another process of this node may listen on too: the system shares
 * new connections out among them.
 */
final class SharedListener extends NioServerSocketChannel {

    SharedListener() {
        config().setOption(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }

    /**
     * Takes all connections that wait to be accepted and closes, in one turn of the loop: those that still
     * wait when a listening socket closes are reset by the system.
     */
    void closeEmptied() {
        List<Object> accepted = new ArrayList<>();
        try {
            while (doReadMessages(accepted) > 0) {
                continue;
            }
        } catch (Exception e) {
            // Out of descriptors, say. What has been accepted is served all the same.
            pipeline().fireExceptionCaught(e);
        }
        close();
        accepted.forEach(pipeline()::fireChannelRead);
        pipeline().fireChannelReadComplete();
    }
}
