package tansypass.node.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import tansypass.node.endpoint.EndpointList;
import tansypass.node.http.ResponseDecoder;
import tansypass.platform.EndpointListJsonReader;
import tansypass.platform.MalformedEndpointListException;

/**
 * One connection of the watch: a request to the discovery agent and its response, which stays open and carries events.
 * It reports at most one failure, and none after {@link #close}. It owns the channel and the timers of the response.
 * Used on the event loop only.
 */
final class EndpointWatchConnection extends ChannelInboundHandlerAdapter {
    /** The timeout of the response's head and of the remainder of a message. The agent runs on the same machine. */
    static final long RESPONSE_TIMEOUT_MS = 1_000;

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** Sufficient for several thousand endpoints. A longer message is treated as malformed. */
    private static final int MAX_MESSAGE_BYTES = 1 << 20;

    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 8_192;

    /** Receives the events of a connection, on its event loop. */
    interface Listener {
        /** Called when the response's head has been received. */
        void onResponseStarted();

        /** Called before {@link #onFailed} if the response's head has not been received in time. */
        void onResponseTimeout();

        /** Called for each event, in the order of arrival. */
        void onEndpointList(EndpointList list);

        /** Called once when the connection could not be opened or has ended. The connection is already closed. */
        void onFailed(String reason);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final long revision;
    private final long idleTimeoutMs;
    private final long responseTimeoutMs;
    private final Listener listener;
    private final ByteBuf receivedBytes = Unpooled.buffer();
    private final JsonObjectFramer framer = new JsonObjectFramer();
    private Channel channel;
    private ScheduledFuture<?> idleTimer;
    private ScheduledFuture<?> responseTimer;
    private boolean closed;

    /**
     * Creates a connection that is not open yet.
     *
     * @param revision the agent sends the changes after this revision of the endpoint list
     * @param idleTimeoutMs the time without a complete line after which the connection fails, in milliseconds
     * @param responseTimeoutMs the time to wait for the response's head, in milliseconds
     */
    EndpointWatchConnection(
            EventLoop loop,
            InetSocketAddress address,
            long revision,
            long idleTimeoutMs,
            long responseTimeoutMs,
            Listener listener) {
        this.loop = loop;
        this.address = address;
        this.revision = revision;
        this.idleTimeoutMs = idleTimeoutMs;
        this.responseTimeoutMs = responseTimeoutMs;
        this.listener = listener;
    }

    /** Connects and sends the request. A failure is reported after this method has returned. */
    void open() {
        idleTimer = failAfter(idleTimeoutMs, "idle timeout");
        responseTimer = loop.schedule(this::failUnanswered, responseTimeoutMs, TimeUnit.MILLISECONDS);
        NioSocketChannel newChannel;
        try {
            newChannel = new NioSocketChannel();
        } catch (ChannelException e) {
            // No descriptor is left. This is reported like a failed connection, but only after the current task of the
            // event loop, because this method may have been called by the load balancer.
            loop.execute(() -> fail("socket not opened: " + e.getCause()));
            return;
        }
        channel = newChannel;
        connect(newChannel);
    }

    private void failUnanswered() {
        listener.onResponseTimeout();
        fail("response timeout");
    }

    private void connect(NioSocketChannel newChannel) {
        new Bootstrap()
                .group(loop)
                .channelFactory(() -> newChannel)
                .disableResolver()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel opened) {
                        opened.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        new ResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES),
                                        EndpointWatchConnection.this);
                    }
                })
                .connect(address)
                .addListener(connected -> {
                    if (connected.isSuccess()) {
                        sendRequest();
                    } else {
                        fail("connection failed: " + connected.cause());
                    }
                });
    }

    private void sendRequest() {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, "/v1/endpoints?watch=1&after=" + revision);
        request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
        channel.writeAndFlush(request);
    }

    /** Closes the connection. The listener is not called any more. */
    void close() {
        closed = true;
        idleTimer.cancel(false);
        responseTimer.cancel(false);
        if (channel != null) {
            channel.close();
        }
    }

    private void fail(String reason) {
        if (closed) {
            return;
        }
        close();
        listener.onFailed(reason);
    }

    private ScheduledFuture<?> failAfter(long timeoutMs, String reason) {
        return loop.schedule(() -> fail(reason), timeoutMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!closed) {
                handle(message);
            }
        } catch (MalformedWatchEventException e) {
            fail("malformed message: " + e.getMessage());
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handle(Object message) throws MalformedWatchEventException {
        if (message instanceof HttpResponse head) {
            if (head.decoderResult().isFailure() || !head.status().equals(HttpResponseStatus.OK)) {
                fail("unexpected response status " + head.status());
                return;
            }
            responseTimer.cancel(false);
            listener.onResponseStarted();
        }
        if (message instanceof HttpContent content) {
            if (content.decoderResult().isFailure()) {
                fail("malformed response: " + content.decoderResult().cause());
                return;
            }
            parseMessages(content.content());
            if (message instanceof LastHttpContent) {
                fail("response ended");
            }
        }
    }

    /** Delivers all complete messages, and starts a timeout for the remainder of an incomplete one. */
    private void parseMessages(ByteBuf content) throws MalformedWatchEventException {
        receivedBytes.writeBytes(content);
        boolean continuesMessage = framer.isInMessage();
        while (!closed && framer.findNext(receivedBytes)) {
            restartIdleTimer();
            continuesMessage = false;
            if (framer.messageLengthBytes() > 0) {
                deliver(receivedBytes
                        .readCharSequence(framer.messageLengthBytes(), StandardCharsets.UTF_8)
                        .toString());
            }
        }
        if (!continuesMessage || !framer.isInMessage()) {
            responseTimer.cancel(false);
        }
        if (!continuesMessage && framer.isInMessage() && !closed) {
            responseTimer = failAfter(Math.min(idleTimeoutMs, RESPONSE_TIMEOUT_MS), "message timeout");
        }
        receivedBytes.discardSomeReadBytes();
        if (receivedBytes.readableBytes() > MAX_MESSAGE_BYTES) {
            throw new MalformedWatchEventException("longer than " + MAX_MESSAGE_BYTES + " bytes");
        }
    }

    private void deliver(String json) throws MalformedWatchEventException {
        listener.onEndpointList(parse(json));
    }

    private static EndpointList parse(String json) throws MalformedWatchEventException {
        try {
            return EndpointListJsonReader.read(json);
        } catch (MalformedEndpointListException e) {
            throw new MalformedWatchEventException(e.getMessage(), e);
        }
    }

    private void restartIdleTimer() {
        idleTimer.cancel(false);
        idleTimer = failAfter(idleTimeoutMs, "idle timeout");
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail("connection failed: " + cause);
    }
}
