package tansypass.cli;

import picocli.CommandLine;
import tansypass.config.InvalidConfigException;
import tansypass.config.NodeFile.LogFormat;
import tansypass.config.NodeFile.LogLevel;
import tansypass.config.NodeFile.LogSettings;

/** The program's entry point. */
public final class Main {
    private static final int LOG_QUEUE_LINES = 1_024;

    private Main() {}

    /** Runs one command and exits with its code, see {@link Exit}. */
    public static void main(String[] args) {
        // Commands print their output themselves and do not log it. Until a configuration file sets the level, only
        // warnings are logged.
        Logs.configure(new LogSettings(LogFormat.TEXT, LogLevel.WARN, LOG_QUEUE_LINES));
        int code = commandLine().execute(args);
        if (code != Exit.KEEP_RUNNING) {
            System.exit(code);
        }
    }

    /**
     * Creates the command line. An exception that a command throws is printed to standard error and sets the exit code:
     * an invalid file prints one line per error, any other exception prints one line.
     */
    static CommandLine commandLine() {
        return new CommandLine(new Tansypass())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setExecutionExceptionHandler((exception, command, parsed) -> {
                    if (exception instanceof InvalidConfigException) {
                        command.getErr().println(exception.getMessage());
                        return Exit.INVALID_INPUT;
                    }
                    command.getErr().println("tansypass: " + formatOneLine(exception));
                    return Exit.FAILED;
                });
    }

    private static String formatOneLine(Throwable exception) {
        String reason = exception.getMessage() == null ? exception.toString() : exception.getMessage();
        return reason.replaceAll("\\p{Cntrl}+", " ");
    }
}
