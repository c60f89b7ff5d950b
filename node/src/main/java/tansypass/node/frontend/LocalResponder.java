package tansypass.node.frontend;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import tansypass.node.http.BadRequestException;
import tansypass.node.http.ResponseFactory;
import tansypass.node.lifecycle.Lifecycle;

/** Responds to the requests for the node itself: readiness checks and the requests of its warm-up. */
final class LocalResponder {
    private static final String READINESS_URI = "/ready";

    private final Lifecycle lifecycle;
    private String warmUpToken;

    /** Creates a responder without a warm-up token. */
    LocalResponder(Lifecycle lifecycle) {
        this.lifecycle = lifecycle;
    }

    /**
     * Sets the token of the warm-up's requests. It stays valid after the warm-up. If the warm-up timed out, some of
     * its requests may still arrive, and they must not reach a server.
     */
    void setWarmUpToken(String token) {
        warmUpToken = token;
    }

    /** Returns whether the request is for the node itself. */
    boolean isLocal(HttpRequest head) {
        return isReadinessCheck(head) || isWarmUp(head);
    }

    private static boolean isReadinessCheck(HttpRequest head) {
        return head.uri().equals(READINESS_URI);
    }

    private boolean isWarmUp(HttpRequest head) {
        return warmUpToken != null && warmUpToken.equals(head.headers().get(HttpFrontend.WARM_UP_HEADER));
    }

    /** Creates the response to a local request. */
    FullHttpResponse respond(HttpRequest head) {
        return isReadinessCheck(head)
                ? reportReadiness(head)
                : ResponseFactory.newText(HttpResponseStatus.OK, "rehearsed");
    }

    private FullHttpResponse reportReadiness(HttpRequest head) {
        if (!head.method().equals(HttpMethod.GET)) {
            return ResponseFactory.newBadRequest(
                    new BadRequestException(HttpResponseStatus.METHOD_NOT_ALLOWED, "use GET"));
        }
        Lifecycle.State state = lifecycle.state();
        return ResponseFactory.newText(
                state == Lifecycle.State.TAKING ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                state.toString());
    }
}
