package tansypass.node.http;

import io.netty.handler.codec.http.HttpResponseStatus;

/** Thrown when a client's request is invalid; the message is the short reason that is sent to the client. */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient HttpResponseStatus status;

    /**
     * Creates an exception without a stack trace.
     *
     * @param status the status of the response
     * @param reason the body of the response: one line of text
     */
    public BadRequestException(HttpResponseStatus status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    HttpResponseStatus status() {
        return status;
    }
}
