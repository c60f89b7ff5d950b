package tansypass.node;

import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Shutdown of the event loops that the tests use. */
class TestEventLoopGroupTest {
    @Test
    void closesChannelsWhenShutDownAfterPoll() throws Exception {
        EventLoopGroup group = new TestEventLoopGroup(NioIoHandler.newFactory());
        Channel channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInboundHandlerAdapter())
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        group.next()
                .submit(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS))
                .get();
        group.terminationFuture().sync();
        assertFalse(channel.isOpen());
    }
}
