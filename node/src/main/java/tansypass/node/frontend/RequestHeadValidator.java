package tansypass.node.frontend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import tansypass.node.http.BadRequestException;
import tansypass.node.http.HttpMessageValidator;

/** Validates the parts of a request's head that are common to all classes, and creates the errors to respond with. */
final class RequestHeadValidator {
    /** The length limit of a body. Clients send bodies of up to 32 MB, and none much longer. */
    static final long MAX_BODY_BYTES = 40L << 20;

    private RequestHeadValidator() {}

    /**
     * Checks a request's length, transfer coding and expectation.
     *
     * @throws BadRequestException if the request can't be served; it holds the status of the response
     */
    static void validate(HttpRequest head) throws BadRequestException {
        if (isTooLarge(head)) {
            throw newBodyTooLarge();
        }
        if (HttpMessageValidator.hasUnsupportedTransferCoding(head)) {
            throw new BadRequestException(HttpResponseStatus.BAD_REQUEST, "unknown transfer coding");
        }
        if (hasExpectation(head) && !HttpUtil.is100ContinueExpected(head)) {
            throw new BadRequestException(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
        }
    }

    /** Returns whether the head declares a body over the limit. */
    static boolean isTooLarge(HttpRequest head) {
        return HttpUtil.getContentLength(head, 0L) > MAX_BODY_BYTES;
    }

    /** Returns whether the client waits for an interim response before it sends the body. */
    static boolean hasExpectation(HttpRequest head) {
        return head.headers().contains(HttpHeaderNames.EXPECT);
    }

    /** Creates the error of a body over the limit. */
    static BadRequestException newBodyTooLarge() {
        return new BadRequestException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over 40 MiB");
    }

    /** Converts a failure of the decoder to the error to respond with. */
    static BadRequestException toBadRequest(Throwable decoderFailure) {
        if (decoderFailure instanceof TooLongHttpLineException) {
            return new BadRequestException(HttpResponseStatus.REQUEST_URI_TOO_LONG, "request line too long");
        }
        if (decoderFailure instanceof TooLongHttpHeaderException) {
            return new BadRequestException(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "headers too large");
        }
        return new BadRequestException(HttpResponseStatus.BAD_REQUEST, "malformed HTTP");
    }
}
