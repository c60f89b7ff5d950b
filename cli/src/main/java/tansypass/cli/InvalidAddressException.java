package tansypass.cli;

import java.io.IOException;

/** Thrown for a text that is no address and port; the message quotes it. */
final class InvalidAddressException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidAddressException(String address) {
        super("not an address and port: " + address);
    }
}
