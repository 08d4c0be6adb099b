package org.ebonyrun.client.command;

import java.io.IOException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.ebonyrun.client.demo.Demo;
import org.ebonyrun.client.demo.DemoOptions;

/** Runs the demonstration: entries and agents on stand-ins, in this process. Stateless. */
public final class DemoCommand implements Command {
    private static final int DEFAULT_SECONDS = 12;
    private static final int MAX_SECONDS = 30;

    /** Creates the command. */
    public DemoCommand() {}

    @Override
    public void register(Subparsers parsers) {
        Subparser parser =
                parsers.addParser("demo")
                        .help("run entries and agents on stand-ins and check the results")
                        .epilog("example: ebonyrun demo --seed 7 --seconds 10");
        parser.setDefault("command", this);
        parser.addArgument("--seed")
                .type(Long.class)
                .setDefault(1L)
                .help("seed of the random load");
        parser.addArgument("--seconds")
                .type(Integer.class)
                .choices(Arguments.range(2, MAX_SECONDS))
                .setDefault(DEFAULT_SECONDS)
                .help("duration of the load, in seconds");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print the report as JSON");
    }

    @Override
    public int run(Namespace options) throws IOException, InterruptedException {
        DemoOptions demo =
                new DemoOptions(
                        options.getLong("seed"),
                        options.getInt("seconds"),
                        options.getBoolean("json"));
        return Demo.run(demo, System.out) ? ExitStatus.OK : ExitStatus.FAILED;
    }
}
