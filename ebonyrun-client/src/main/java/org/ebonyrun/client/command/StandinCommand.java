package org.ebonyrun.client.command;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.ebonyrun.daemon.DaemonSettings;
import org.ebonyrun.ports.vm.VmRecord;
import org.ebonyrun.standin.engine.EngineSettings;
import org.ebonyrun.standin.engine.StandinEngine;
import org.ebonyrun.standin.engine.StandinService;
import org.ebonyrun.standin.platform.StandinPlatform;

/** Runs one stand-in of the platform or of an endpoint in this process. Stateless. */
public final class StandinCommand implements Command {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int DEFAULT_SLOTS = 8;
    private static final int TOKENS_PER_CHUNK = 4;
    private static final int DEFAULT_CHUNK_MILLIS = 10;
    private static final int SWAP_MILLIS = 150;
    private static final int SERVICE_MILLIS = 3;

    /** Creates the command. */
    public StandinCommand() {}

    @Override
    public void register(Subparsers parsers) {
        Subparser parser =
                parsers.addParser("standin")
                        .help("run a stand-in of the platform, an engine or a plain service")
                        .epilog("example: ebonyrun standin platform --listen 127.0.0.1:7000");
        parser.setDefault("command", this);
        parser.addArgument("kind").choices("platform", "engine", "service");
        parser.addArgument("--listen").required(true).help("loopback address, host:port");
        parser.addArgument("--vms").help("JSON file with the list of VMs; platform only");
        parser.addArgument("--name").setDefault("standin").help("name, which run IDs start with");
        parser.addArgument("--slots").type(Integer.class).setDefault(DEFAULT_SLOTS);
        parser.addArgument("--chunk-ms").type(Integer.class).setDefault(DEFAULT_CHUNK_MILLIS);
    }

    @Override
    public int run(Namespace options) throws IOException, InterruptedException {
        DaemonSettings.ListenAddress listen;
        try {
            listen = DaemonSettings.ListenAddress.parse(options.getString("listen"));
        } catch (IllegalArgumentException e) {
            System.err.println("ebonyrun: " + e.getMessage());
            return ExitStatus.USAGE;
        }
        if (!listen.host().equals(LOOPBACK)) {
            System.err.println("ebonyrun: a stand-in listens on " + LOOPBACK + " only");
            return ExitStatus.USAGE;
        }
        URI address = start(options, listen);
        System.out.println(options.getString("kind") + " at " + address);
        new CountDownLatch(1).await();
        return ExitStatus.OK;
    }

    private static URI start(Namespace options, DaemonSettings.ListenAddress listen)
            throws IOException {
        String name = options.getString("name");
        return switch (options.getString("kind")) {
            case "platform" -> platform(options, listen).address();
            case "engine" ->
                    StandinEngine.start(
                                    new EngineSettings(
                                            name,
                                            options.getInt("slots"),
                                            TOKENS_PER_CHUNK,
                                            options.getInt("chunk_ms"),
                                            SWAP_MILLIS,
                                            true),
                                    listen.host(),
                                    listen.port(),
                                    1)
                            .address();
            default ->
                    StandinService.start(name, listen.host(), listen.port(), SERVICE_MILLIS)
                            .address();
        };
    }

    private static StandinPlatform platform(Namespace options, DaemonSettings.ListenAddress listen)
            throws IOException {
        StandinPlatform platform = StandinPlatform.start(listen.host(), listen.port());
        String file = options.getString("vms");
        if (file != null) {
            List<VmRecord> vms =
                    new ObjectMapper()
                            .readValue(Files.readString(Path.of(file)), new TypeReference<>() {});
            vms.forEach(platform::putVm);
        }
        return platform;
    }
}
