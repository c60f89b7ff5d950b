package tansypass.node.upstream;

import io.netty.handler.codec.http.HttpRequest;
import tansypass.balancer.AttemptResult;
import tansypass.node.http.RequestBody;
import tansypass.node.http.ResponseBodySink;
import tansypass.node.http.UpstreamResponse;

/** Supplies the request of one attempt and receives the events of the attempt. All methods run on the event loop. */
public interface AttemptHandler {
    /**
     * Returns whether the request can be sent from its start. Called when the attempt gets its connection; if false,
     * the attempt ends as NOT_SENT.
     */
    default boolean isSendable() {
        return true;
    }

    /**
     * Creates the request's message. Called just before the message is written.
     *
     * @return a {@code FullHttpRequest}, or only the head if {@link #requestBody} supplies the body
     */
    HttpRequest createMessage();

    /**
     * Returns the body, if {@link #createMessage} returned only the head.
     *
     * @throws IllegalStateException if the message included the body
     */
    default RequestBody requestBody() {
        throw new IllegalStateException("requestBody() called for a complete message");
    }

    /**
     * Returns whether the request must not be sent once it has waited for a connection as long as the connect timeout.
     * This is so for a retry that relies on a server's deduplication window: the load balancer starts the retry only if
     * the window is still open after the connect timeout, and a longer wait could exceed the window.
     */
    default boolean expiresWithConnectTimeout() {
        return false;
    }

    /** Called when the request's last byte has been written to the socket. */
    default void onRequestWritten() {}

    /**
     * Called when a response starts to be relayed part by part, because it is too long to be buffered or its length is
     * unknown.
     *
     * @param contentType the value of the server's header, or null if there is none
     * @param length the length of the body in bytes, or -1 if it is not known yet
     * @param whenWritable must be run when the sink, after it was not writable, is writable again
     * @return the sink for the parts of the body
     */
    default ResponseBodySink onResponseStarted(String contentType, long length, Runnable whenWritable) {
        return ResponseBodySink.DISCARDING;
    }

    /**
     * Called before the end of an attempt that is aborted because a peer has made no progress for too long.
     *
     * @param waitingForClient whether the client accepted no more of the response; otherwise the server is the peer
     */
    default void onStalled(boolean waitingForClient) {}

    /**
     * Called exactly once, when the attempt ends.
     *
     * @param response not null if the result is OK or ERROR and the response was not relayed; may be null otherwise
     */
    void onAttemptEnded(AttemptResult result, UpstreamResponse response);
}
