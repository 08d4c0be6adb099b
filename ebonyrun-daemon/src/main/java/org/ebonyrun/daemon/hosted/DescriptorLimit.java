package org.ebonyrun.daemon.hosted;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads how many descriptors this process may open. Stateless and thread safe. */
final class DescriptorLimit {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final Pattern OPEN_FILES = Pattern.compile("Max open files +(\\d+) .*");

    private DescriptorLimit() {}

    /** Returns the limit of the operating system, or the fallback if it can't be read. */
    static int read(int fallback) {
        try {
            return parse(Files.readAllLines(LIMITS), fallback);
        } catch (IOException e) {
            return fallback;
        }
    }

    /** Returns the limit that the lines name, or the fallback if they name none. */
    static int parse(List<String> lines, int fallback) {
        for (String line : lines) {
            Matcher matcher = OPEN_FILES.matcher(line);
            if (matcher.matches()) {
                return (int) Math.min(Integer.MAX_VALUE, Long.parseLong(matcher.group(1)));
            }
        }
        return fallback;
    }
}
