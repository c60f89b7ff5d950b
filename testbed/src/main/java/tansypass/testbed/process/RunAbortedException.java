package tansypass.testbed.process;

import java.io.IOException;

/** Thrown if a run is aborted because a fault can't be injected; the message names the signal or start that failed. */
public final class RunAbortedException extends IOException {
    private static final long serialVersionUID = 1L;

    RunAbortedException(String message, Throwable cause) {
        super(message, cause);
    }
}
