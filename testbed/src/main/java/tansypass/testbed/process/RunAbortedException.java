package tansypass.testbed.process;

import java.io.IOException;

/** Thrown if a run can't go on because a fault can't be injected; the message says which signal or start failed. */
public final class RunAbortedException extends IOException {
    private static final long serialVersionUID = 1L;

    RunAbortedException(String message, Throwable cause) {
        super(message, cause);
    }
}
