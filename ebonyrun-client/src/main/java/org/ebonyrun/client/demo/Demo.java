package org.ebonyrun.client.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.daemon.store.Json;
import org.ebonyrun.standin.trainer.StandinTrainer;
import org.ebonyrun.standin.trainer.TrainerSettings;

/** Runs the demonstration. Stateless and thread safe. */
public final class Demo {
    private static final TrainerSettings TRAINER =
            new TrainerSettings("pad-model", "pad-order", DemoFleet.MODEL_SERVICE, 8, 4, 120, 300);
    private static final long TRAINER_STOP_MILLIS = 20_000;
    private static final int CRASHED_ENGINE = 1;

    private Demo() {}

    /** Runs the demonstration and returns whether every guarantee held. */
    public static boolean run(DemoOptions options, PrintStream out)
            throws IOException, InterruptedException {
        progress(options, out, "starting 2 entries, 4 engines and 2 plain services");
        DemoReport report = runLoad(options, out);
        print(options, out, report);
        return report.broken().isEmpty();
    }

    private static DemoReport runLoad(DemoOptions options, PrintStream out)
            throws IOException, InterruptedException {
        CallResults calls = new CallResults();
        try (DemoFleet fleet = DemoFleet.start();
                DemoLoad load = new DemoLoad(fleet, calls, options.seed())) {
            StandinTrainer trainer =
                    StandinTrainer.create(
                            TRAINER,
                            fleet.httpClient(),
                            fleet::nextEntry,
                            fleet.platform().address(),
                            DemoFleet.firstVersion());
            Thread training = new Thread(trainer, "trainer");
            training.setDaemon(true);
            training.start();
            load.start();
            awaitLoadEnd(options, out, fleet, trainer);
            load.finish();
            trainer.stop();
            training.join(TRAINER_STOP_MILLIS);
            return new DemoAudit(fleet, calls, trainer).createReport();
        }
    }

    /** Waits until the duration of the load has passed; crashes an engine half-way. */
    private static void awaitLoadEnd(
            DemoOptions options, PrintStream out, DemoFleet fleet, StandinTrainer trainer)
            throws InterruptedException {
        for (int second = 1; second <= options.seconds(); second++) {
            TimeUnit.SECONDS.sleep(1);
            if (second == (options.seconds() + 1) / 2) {
                progress(options, out, "crashing engine " + CRASHED_ENGINE);
                fleet.crashEngine(CRASHED_ENGINE);
            }
            progress(
                    options,
                    out,
                    second
                            + " s: steps "
                            + trainer.completedSteps()
                            + ", samples "
                            + trainer.samples().size());
        }
        progress(options, out, "finishing");
    }

    private static void print(DemoOptions options, PrintStream out, DemoReport report) {
        if (options.json()) {
            out.println(new String(Json.write(report), StandardCharsets.UTF_8));
        } else {
            out.println(report.table());
        }
        out.println(report.verdict());
    }

    private static void progress(DemoOptions options, PrintStream out, String text) {
        if (!options.json()) {
            out.println(text);
        }
    }
}
