package tansypass.testbed.process;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import tansypass.cluster.runtime.Scheduler;
import tansypass.config.NodeFile.Idempotency;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.scenario.Scenario.RequestClass;

/**
 * The clients of one node. They send one request at a time on a connection, keep connections alive, and open another
 * connection when all are busy. If the node closes an idle connection while a request is being sent on it, the request
 * is retried once on a new connection. Used only on the run's event loop.
 */
final class LoadGenerator {
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final RunClock clock;
    private final InvariantChecker checker;
    private final int node;
    private final InetSocketAddress address;
    private final Deque<Connection> idleConnections = new ArrayDeque<>();
    private final Set<OpenRequest> openRequests = new LinkedHashSet<>();

    LoadGenerator(
            EventLoop loop,
            Scheduler scheduler,
            RunClock clock,
            InvariantChecker checker,
            int node,
            InetSocketAddress address) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.clock = clock;
        this.checker = checker;
        this.node = node;
        this.address = address;
    }

    /** Returns the number of requests that are waiting for a response. */
    int openRequestCount() {
        return openRequests.size();
    }

    /** Sends a request that was due at {@code intendedUs}, and notifies the checker when it ends. */
    void send(String id, RequestClass requestClass, long intendedUs) {
        long nowUs = clock.nowUs();
        OpenRequest request = new OpenRequest(id, requestClass, nowUs + requestClass.deadlineUs());
        checker.requestSent(nowUs, id, requestClass, node, intendedUs, request.deadlineUs);
        openRequests.add(request);
        request.timeoutTimer =
                scheduler.after(InvariantChecker.responseTimeoutAtUs(request.deadlineUs) - nowUs, request::timeOut);
        Connection idle = idleConnections.poll();
        if (idle != null) {
            idle.send(request);
        } else {
            connect(request);
        }
    }

    private void connect(OpenRequest request) {
        Connection newConnection = new Connection();
        int timeoutMs =
                (int) Math.max(1, (InvariantChecker.responseTimeoutAtUs(request.deadlineUs) - clock.nowUs()) / 1_000);
        Channels.connect(loop, address, timeoutMs, true, newConnection::init).addListener(connectResult -> {
            Channel channel = ((ChannelFuture) connectResult).channel();
            if (request.hasEnded) {
                channel.close();
            } else if (connectResult.isSuccess()) {
                newConnection.channel = channel;
                newConnection.send(request);
            } else {
                request.end();
                checker.connectionRefused(clock.nowUs(), request.id);
            }
        });
    }

    /** Closes the idle connections. */
    void close() {
        idleConnections.forEach(idle -> idle.channel.close());
        idleConnections.clear();
    }

    private final class OpenRequest {
        private final String id;
        private final RequestClass requestClass;
        private final long deadlineUs;
        private Scheduler.Timer timeoutTimer;
        private Connection connection;
        private boolean hasEnded;

        OpenRequest(String id, RequestClass requestClass, long deadlineUs) {
            this.id = id;
            this.requestClass = requestClass;
            this.deadlineUs = deadlineUs;
        }

        void end() {
            hasEnded = true;
            timeoutTimer.cancel();
            openRequests.remove(this);
        }

        void timeOut() {
            if (!hasEnded) {
                end();
                checker.responseTimedOut(clock.nowUs(), id);
                if (connection != null) {
                    connection.channel.close();
                }
            }
        }

        FullHttpRequest toHttpRequest() {
            boolean hasBody = requestClass.idempotency() != Idempotency.SAFE;
            FullHttpRequest httpRequest = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    hasBody ? HttpMethod.POST : HttpMethod.GET,
                    "/" + requestClass.name(),
                    Unpooled.copiedBuffer(hasBody ? "body of " + id : "", StandardCharsets.US_ASCII));
            httpRequest
                    .headers()
                    .set(HttpHeaderNames.HOST, "backend.local")
                    .set("X-Txn", id)
                    .set("X-Remaining-Ms", Math.max(1, (deadlineUs - clock.nowUs()) / 1_000));
            if (hasBody) {
                httpRequest
                        .headers()
                        .set(
                                HttpHeaderNames.CONTENT_LENGTH,
                                httpRequest.content().readableBytes());
            }
            if (requestClass.idempotency() == Idempotency.KEYED) {
                httpRequest.headers().set("Idempotency-Key", id);
            }
            return httpRequest;
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private OpenRequest request;
        /** Whether the connection has had a response, so that a later request uses an idle connection. */
        private boolean hasResponded;

        void init(SocketChannel newChannel) {
            newChannel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), this);
        }

        void send(OpenRequest next) {
            request = next;
            next.connection = this;
            channel.writeAndFlush(next.toHttpRequest());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            OpenRequest answeredRequest = request;
            request = null;
            if (answeredRequest == null) {
                ctx.close();
                return;
            }
            hasResponded = true;
            answeredRequest.connection = null;
            answeredRequest.end();
            checker.responseReceived(
                    clock.nowUs(),
                    answeredRequest.id,
                    response.status().code(),
                    response.content().toString(StandardCharsets.US_ASCII));
            if (HttpUtil.isKeepAlive(response)) {
                idleConnections.push(this);
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.remove(this);
            OpenRequest interruptedRequest = request;
            request = null;
            if (interruptedRequest == null || interruptedRequest.hasEnded) {
                return;
            }
            interruptedRequest.connection = null;
            if (hasResponded) {
                // The node closed the idle connection while the request was being sent.
                connect(interruptedRequest);
            } else {
                interruptedRequest.end();
                checker.connectionBroken(clock.nowUs(), interruptedRequest.id, true);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
