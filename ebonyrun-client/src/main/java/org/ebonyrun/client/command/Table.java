package org.ebonyrun.client.command;

import java.util.ArrayList;
import java.util.List;

/** Formats a plain-text table with columns as wide as their widest cell. Not thread safe. */
final class Table {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> mRows = new ArrayList<>();

    /** Creates a table with a heading. */
    static Table withHeading(String... heading) {
        Table table = new Table();
        table.mRows.add(List.of(heading));
        return table;
    }

    /** Adds a row, which must have as many cells as the heading. */
    Table addRow(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        mRows.add(row);
        return this;
    }

    /** Returns whether there are rows below the heading. */
    boolean hasRows() {
        return mRows.size() > 1;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : mRows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(pad(row.get(i), width(i))).append(COLUMN_SEPARATOR);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private int width(int column) {
        return mRows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }

    private static String pad(String text, int width) {
        return text + " ".repeat(width - text.length());
    }
}
