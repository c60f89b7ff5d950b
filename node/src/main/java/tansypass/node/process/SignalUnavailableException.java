package tansypass.node.process;

/** Thrown if a signal can't be handled on this runtime or operating system. The cause has the reason. */
final class SignalUnavailableException extends Exception {
    private static final long serialVersionUID = 1;

    SignalUnavailableException(String signal, Throwable cause) {
        super("SIG" + signal + " can't be handled: " + cause, cause);
    }
}
