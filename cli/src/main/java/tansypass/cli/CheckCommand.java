package tansypass.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tansypass.config.ConfigError;
import tansypass.config.InvalidConfigException;
import tansypass.config.NodeFile;

/** Validates a node's configuration file and prints all its errors. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Validate a node's configuration file. Print every error with its file, line and key, the invalid"
                + " value and the allowed values.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the node's TOML file")
    private String file;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        try {
            NodeFile node = NodeFile.read(file, System.getenv());
            tansypass.node.Main.check(NodeFileConverter.toNodeConfig(node));
            out.println(file + ": fit for use");
            return Exit.OK;
        } catch (InvalidConfigException e) {
            for (ConfigError error : e.errors()) {
                out.println(error);
            }
            // Scripts match the word "fault" in the summary.
            out.println(e.errors().size() + (e.errors().size() == 1 ? " fault" : " faults"));
        }
        return Exit.INVALID_INPUT;
    }
}
