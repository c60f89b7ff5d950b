package tansypass.testbed.process;

import java.io.IOException;

/** Thrown if a node of a run does not become ready; the message names the node and ends with its last log lines. */
public final class NodeStartException extends IOException {
    private static final long serialVersionUID = 1L;

    NodeStartException(String message) {
        super(message);
    }

    NodeStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
