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
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import tansypass.node.endpoint.EndpointList;
import tansypass.node.http.ResponseDecoder;
import tansypass.platform.EndpointListJsonReader;
import tansypass.platform.MalformedEndpointListException;

/**
 * The watch on the endpoint list: an HTTP request to the discovery agent whose response stays open and carries events.
 * There is at most one watch; a failure is reported once. It owns the timers of the watch and of the next attempt. All
 * methods have to be called on its event loop, which also runs the listener.
 */
public final class EndpointWatch {
    /**
     * How long a watch may stay idle, in milliseconds. The agent sends a line every 2 s, and a drain that an idle watch
     * missed takes effect 6 s after its last line: this is short enough to detect two such watches in a row and open a
     * third one before that. Bytes that do not complete a line do not count as activity.
     */
    public static final long IDLE_TIMEOUT_MS = 2_500;
    /** The agent runs on this machine: a response head, or the rest of a message, takes no longer than this. */
    private static final long RESPONSE_TIMEOUT_MS = 1_000;

    /**
     * Where nodes poll the endpoint list, discovery is one service for all of them that queues their requests. A
     * request that times out loses its place in the queue and is sent again: with a fixed timeout below the queueing
     * time no node would ever get a response. So each consecutive request without a response extends the timeout of
     * the next one by this.
     */
    private static final long QUEUEING_EXTENSION_MS = 750;

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** Enough for some thousand endpoints; a longer message is malformed. */
    private static final int MAX_MESSAGE_BYTES = 1 << 20;

    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 8_192;

    /** Receives the events of a watch, on its event loop. */
    public interface Listener {
        /** Called for each event, in the order of the stream. */
        void onEndpointList(EndpointList list);

        /** Called once when the watch could not be opened or has ended; nothing is retried by itself. */
        void onWatchFailed(String reason);
    }

    private final EventLoop loop;
    private final Listener listener;
    private final long idleTimeoutMs;
    private final boolean requestsMayQueue;
    private InetSocketAddress address;
    private long revision;
    private Stream stream;
    private boolean subscribed;
    /** Consecutive requests that timed out without a response. */
    private int unansweredRequests;

    private ScheduledFuture<?> retry;

    /**
     * Creates a watch that is not open yet.
     *
     * @param address of the discovery agent, or null if there is none: then the endpoint list never changes
     * @param revision the revision of the endpoint list that is known already
     * @param idleTimeoutMs how long an open watch may stay idle, in milliseconds
     * @param requestsMayQueue whether discovery may queue a request, because nodes poll it
     */
    public EndpointWatch(
            EventLoop loop,
            InetSocketAddress address,
            long revision,
            long idleTimeoutMs,
            boolean requestsMayQueue,
            Listener listener) {
        this.loop = loop;
        this.address = address;
        this.revision = revision;
        this.idleTimeoutMs = idleTimeoutMs;
        this.requestsMayQueue = requestsMayQueue;
        this.listener = listener;
    }

    /** Opens a watch from the latest known revision on; replaces one that is still open. */
    public void subscribe() {
        close();
        subscribed = true;
        if (address != null) {
            stream = new Stream();
            stream.open();
        }
    }

    /** Closes the watch and subscribes again after a delay, unless {@link #subscribe} is called earlier. */
    public void subscribeAfter(long delayMs) {
        close();
        retry = loop.schedule(this::subscribe, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Changes the agent's address, null for none; a watch that was subscribed is reopened there at once. */
    public void changeAddress(InetSocketAddress newAddress) {
        if (!Objects.equals(newAddress, address)) {
            address = newAddress;
            if (subscribed) {
                subscribe();
            }
        }
    }

    /** Closes the watch and cancels a pending subscription; the listener is not called. */
    public void close() {
        if (retry != null) {
            retry.cancel(false);
            retry = null;
        }
        if (stream != null) {
            stream.close();
            stream = null;
        }
    }

    /** One request and its response, which stays open. */
    private final class Stream extends ChannelInboundHandlerAdapter {
        private final ByteBuf received = Unpooled.buffer();
        private final JsonObjectFramer framer = new JsonObjectFramer();
        private Channel channel;
        private ScheduledFuture<?> idleTimer;
        private ScheduledFuture<?> responseTimer;
        private boolean closed;

        void open() {
            idleTimer = failAfter(idleTimeoutMs, "idle timeout");
            responseTimer = loop.schedule(this::failUnanswered, responseTimeoutMs(), TimeUnit.MILLISECONDS);
            NioSocketChannel newChannel;
            try {
                newChannel = new NioSocketChannel();
            } catch (ChannelException e) {
                // Out of descriptors: handled like a failed connection. Deferred, since the decision module may be
                // running.
                loop.execute(() -> fail("socket not opened: " + e.getCause()));
                return;
            }
            channel = newChannel;
            connect(newChannel);
        }

        private long responseTimeoutMs() {
            long extensionMs = requestsMayQueue ? unansweredRequests * QUEUEING_EXTENSION_MS : 0;
            return Math.min(idleTimeoutMs, RESPONSE_TIMEOUT_MS + extensionMs);
        }

        private void failUnanswered() {
            unansweredRequests++;
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
                                            Stream.this);
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
            request.headers()
                    .set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
            channel.writeAndFlush(request);
        }

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
            stream = null;
            listener.onWatchFailed(reason);
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
            } catch (IllegalArgumentException | MalformedEndpointListException e) {
                fail("malformed message: " + e.getMessage());
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void handle(Object message) throws MalformedEndpointListException {
            if (message instanceof HttpResponse head) {
                if (head.decoderResult().isFailure() || !head.status().equals(HttpResponseStatus.OK)) {
                    fail("unexpected response status " + head.status());
                    return;
                }
                responseTimer.cancel(false);
                unansweredRequests = 0;
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

        /** Parses all complete messages and sets a time limit on the rest of an incomplete one. */
        private void parseMessages(ByteBuf content) throws MalformedEndpointListException {
            received.writeBytes(content);
            boolean continuesMessage = framer.isInMessage();
            while (!closed && framer.findNext(received)) {
                restartIdleTimer();
                continuesMessage = false;
                if (framer.messageLength() > 0) {
                    deliver(received.readCharSequence(framer.messageLength(), StandardCharsets.UTF_8)
                            .toString());
                }
            }
            if (!continuesMessage || !framer.isInMessage()) {
                responseTimer.cancel(false);
            }
            if (!continuesMessage && framer.isInMessage() && !closed) {
                responseTimer = failAfter(Math.min(idleTimeoutMs, RESPONSE_TIMEOUT_MS), "message timeout");
            }
            received.discardSomeReadBytes();
            if (received.readableBytes() > MAX_MESSAGE_BYTES) {
                throw new IllegalArgumentException("longer than " + MAX_MESSAGE_BYTES + " bytes");
            }
        }

        private void deliver(String json) throws MalformedEndpointListException {
            EndpointList list = EndpointListJsonReader.read(json);
            revision = list.revision();
            listener.onEndpointList(list);
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
}
