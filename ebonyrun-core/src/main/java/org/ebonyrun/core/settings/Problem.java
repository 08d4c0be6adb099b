package org.ebonyrun.core.settings;

/**
 * One fault in a settings file.
 *
 * @param file the name of the file
 * @param line the line, from one; zero when the fault is of the whole file
 * @param path the path of the value, for example {@code classes.lookup.lateness}
 * @param message what is wrong and what would be right
 */
public record Problem(String file, int line, String path, String message) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + path + ": " + message;
    }
}
