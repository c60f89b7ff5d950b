package tansypass.cli;

import java.io.IOException;

/** Thrown if the response from an address is not the view of a cluster member; the message contains the address. */
final class NotAMemberException extends IOException {
    private static final long serialVersionUID = 1L;

    NotAMemberException(String address) {
        super(address + " is no member of a fleet");
    }

    NotAMemberException(String address, Throwable cause) {
        super(address + " is no member of a fleet", cause);
    }
}
