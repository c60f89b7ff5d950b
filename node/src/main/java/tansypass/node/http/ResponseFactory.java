package tansypass.node.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Factory methods for complete responses. */
public final class ResponseFactory {
    private ResponseFactory() {}

    /** Creates a response without a body and without a Content-Length. */
    public static FullHttpResponse newEmpty(HttpResponseStatus status) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    }

    /** Creates a response with one line of plain text as its body. */
    public static FullHttpResponse newText(HttpResponseStatus status, String reason) {
        FullHttpResponse response = newResponse(status, (reason + "\n").getBytes(StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        return response;
    }

    /** Creates a response with a body. The array is not copied. */
    public static FullHttpResponse newResponse(HttpResponseStatus status, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }

    /** Creates the response to an invalid request, with the status and the reason of the exception. */
    public static FullHttpResponse newBadRequest(BadRequestException e) {
        FullHttpResponse response = newText(e.status(), e.getMessage());
        if (e.status().equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
            response.headers().set(HttpHeaderNames.ALLOW, e.getMessage().replace("use ", ""));
        }
        return response;
    }
}
