package tansypass.testbed.process;

import java.io.IOException;

/** Thrown if a measurement of the testbed fails or takes too long. */
public final class BenchmarkException extends IOException {
    private static final long serialVersionUID = 1L;

    BenchmarkException(String message, Throwable cause) {
        super(message, cause);
    }
}
