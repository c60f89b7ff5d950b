package tansypass.cli;

/** Exit codes of the program, as documented in docs/operations.md. */
final class Exit {
    /** The command succeeded. */
    static final int OK = 0;
    /** The command failed. */
    static final int FAILED = 1;
    /** The command line or a file is invalid; nothing was started. */
    static final int INVALID_INPUT = 2;
    /** The command succeeded with a negative result, such as a node that is not ready or a violated invariant. */
    static final int NEGATIVE = 3;
    /** Not an exit code: the process keeps running until another thread ends it. */
    static final int KEEP_RUNNING = -1;

    private Exit() {}
}
