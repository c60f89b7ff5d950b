package tansypass.testbed.process;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import tansypass.testbed.model.WebServer;
import tansypass.testbed.scenario.Scenario.RequestClass;

/** One connection to a {@link StubWebServer}, with one request at a time. Used only on the run's event loop. */
final class StubWebServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final String REQUEST_ID_HEADER = "X-Txn";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String LOAD_REPORT_HEADER = "X-Pressure";
    /** Marks a response as a rejection: the request was not executed. */
    private static final String REJECTED_HEADER = "X-Turned-Away";

    private final StubWebServer server;
    private boolean isFirstRequest = true;
    /** The attempt in flight on this connection; empty between requests. */
    private Optional<Attempt> attempt = Optional.empty();

    private Optional<WebServer.Execution> execution = Optional.empty();

    /** An attempt in flight: the id of its request, and the number that the checker assigned to it. */
    private record Attempt(String requestId, int number) {}

    StubWebServerConnection(StubWebServer server) {
        this.server = server;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        Optional<String> id = Optional.ofNullable(request.headers().get(REQUEST_ID_HEADER));
        Optional<RequestClass> requestClass = server.findRequestClass(requestClassName(request));
        if (id.isEmpty() || requestClass.isEmpty() || request.decoderResult().isFailure()) {
            write(ctx, newResponse(HttpResponseStatus.NOT_FOUND, ""));
            return;
        }
        serve(ctx, request, id.get(), requestClass.get());
    }

    /** Returns the first part of the path, which names the class of the request. */
    private static String requestClassName(FullHttpRequest request) {
        return request.uri().substring(1).split("[/?]", 2)[0];
    }

    private void serve(ChannelHandlerContext ctx, FullHttpRequest request, String id, RequestClass requestClass) {
        attempt = Optional.of(new Attempt(id, server.recordAttemptStarted(id)));
        boolean isFirst = isFirstRequest;
        isFirstRequest = false;
        Optional<String> key = Optional.ofNullable(request.headers().get(IDEMPOTENCY_KEY_HEADER));
        execution =
                Optional.of(server.model().serve(requestClass, key, isFirst, response -> respond(ctx, id, response)));
    }

    private void respond(ChannelHandlerContext ctx, String id, WebServer.Response response) {
        if (response.status() == HttpResponseStatus.OK.code()) {
            server.recordResponseProduced(id, response.body());
        }
        endAttempt(response.isRejected());
        FullHttpResponse message = newResponse(HttpResponseStatus.valueOf(response.status()), response.body());
        response.loadReport().ifPresent(report -> message.headers().set(LOAD_REPORT_HEADER, report));
        if (response.isRejected()) {
            message.headers().set(REJECTED_HEADER, "1");
        }
        write(ctx, message);
    }

    private void endAttempt(boolean isKnownNotExecuted) {
        attempt.ifPresent(ended -> server.recordAttemptEnded(ended.requestId, ended.number, isKnownNotExecuted));
        attempt = Optional.empty();
    }

    private static FullHttpResponse newResponse(HttpResponseStatus status, String body) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
    }

    private static void write(ChannelHandlerContext ctx, FullHttpResponse response) {
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        ctx.writeAndFlush(response);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (server.removeConnection(ctx.channel())) {
            execution.ifPresent(WebServer.Execution::cancel);
            endAttempt(false);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof IdleStateEvent && attempt.isEmpty()) {
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
