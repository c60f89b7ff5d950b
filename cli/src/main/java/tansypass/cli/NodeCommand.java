package tansypass.cli;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tansypass.config.FaultyFileException;
import tansypass.config.NodeFile;

/** Serves as one node until SIGTERM. */
@Command(name = "node", mixinStandardHelpOptions = true,
        description = "Serve as one node until SIGTERM. SIGHUP reads the file again.")
final class NodeCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "the node's TOML file")
    private String file;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        NodeFile first;
        try {
            first = NodeFile.read(file, System.getenv());
        } catch (FaultyFileException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return Exit.UNUSABLE;
        }
        Logs.set(first.log());
        Reload reload = new Reload(file, System.getenv(), first);
        cedarrelay.node.Main.serve(() -> PlatformJson.of(reload.next()));
        return Exit.GOES_ON;
    }
}
