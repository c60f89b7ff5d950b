package tansypass.node.admin;

import java.util.Locale;

/** Why the node has ended a client's connection, other than by the response to a request or the end of a stream. */
public enum CloseReason {
    /** A request could not be parsed, or was too long. */
    MALFORMED_REQUEST,
    /** A request was not received in time. */
    REQUEST_TIMEOUT,
    /** The time of a request ran out while its web server still read it. */
    OUT_OF_TIME,
    /** The client has sent more behind a request than is buffered. */
    PIPELINE_OVERFLOW,
    /** The connection's descriptor was needed for another one. */
    RECLAIMED,
    /** The connection was idle while the node was draining or stopping. */
    DRAINED;

    /** Returns the name in the metrics. */
    String externalName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
