package tansypass.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The top-level command, which only has subcommands. */
@Command(
        name = "tansypass",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Runs a load-balancing proxy node, and has tools to query, test and measure clusters of nodes.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:the command succeeded",
            "1:the command failed",
            "2:the command line or a file is invalid",
            "3:the command succeeded with a negative result, which the help of the command describes"
        },
        subcommands = {
            NodeCommand.class,
            CheckCommand.class,
            StatusCommand.class,
            DrainCommand.class,
            WatchCommand.class,
            MembersCommand.class,
            TestbedCommand.class,
            HelpCommand.class
        })
final class Tansypass implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a command is missing; see the list of commands");
    }
}
