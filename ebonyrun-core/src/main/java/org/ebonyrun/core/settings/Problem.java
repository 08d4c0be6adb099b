package org.ebonyrun.core.settings;

/**
 * One problem in a settings file.
 *
 * @param file the name of the file
 * @param line the line, counted from one; zero if the problem concerns the whole file
 * @param path the path of the value, for example {@code classes.lookup.lateness}
 * @param message what is wrong and what is expected
 */
public record Problem(String file, int line, String path, String message) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + path + ": " + message;
    }
}
