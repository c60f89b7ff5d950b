package tansypass.node.process;

/** A signal can't be handled on this runtime or operating system; the cause says why. */
final class SignalUnavailableException extends Exception {
    private static final long serialVersionUID = 1;

    SignalUnavailableException(String signal, Throwable cause) {
        super("SIG" + signal + " can't be handled: " + cause, cause);
    }
}
