package tansypass.testbed.process;

import java.io.IOException;

/** Thrown if the testbed can't listen at an address that it needs; the message names the address. */
public final class AddressUnavailableException extends IOException {
    private static final long serialVersionUID = 1L;

    AddressUnavailableException(String message) {
        super(message);
    }

    AddressUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
