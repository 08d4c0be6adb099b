package org.ebonyrun.core.settings;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/**
 * A value in a YAML file, with its line and path. Reading a value of the wrong kind adds a {@link
 * Problem} to the list that all nodes of a file share and returns the fallback, so that one pass
 * finds all problems.
 *
 * <p>Not thread safe; used by the thread that reads the file.
 */
public final class SettingsNode {
    private static final int MAX_BYTES = 512 * 1024;

    private final String mFile;
    private final String mPath;
    private final @Nullable Node mNode;
    private final int mLine;
    private final List<Problem> mProblems;

    private SettingsNode(
            String file, String path, @Nullable Node node, int line, List<Problem> problems) {
        mFile = file;
        mPath = path;
        mNode = node;
        mLine = line;
        mProblems = problems;
    }

    /** Parses a file. Syntax errors are added to {@code problems}. */
    public static SettingsNode parse(String file, String text, List<Problem> problems) {
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(MAX_BYTES);
        options.setAllowDuplicateKeys(false);
        Node root = null;
        try {
            root = new Yaml(options).compose(new StringReader(text));
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 0 : e.getProblemMark().getLine() + 1;
            problems.add(new Problem(file, line, "", "not valid YAML: " + e.getProblem()));
        } catch (YAMLException e) {
            problems.add(new Problem(file, 0, "", "not valid YAML: " + e.getMessage()));
        }
        return new SettingsNode(file, "", root, 1, problems);
    }

    /** Returns whether the value is present. */
    public boolean isPresent() {
        return mNode != null;
    }

    /** Returns the path from the root, separated by dots. */
    public String path() {
        return mPath;
    }

    /** Adds a problem with this value, unless the same problem has been added already. */
    public void addProblem(String message) {
        Problem problem = new Problem(mFile, mLine, mPath, message);
        if (!mProblems.contains(problem)) {
            mProblems.add(problem);
        }
    }

    /** Returns the child with the given key, or a node that is not present. */
    public SettingsNode get(String key) {
        SettingsNode child = children().get(key);
        return child != null ? child : new SettingsNode(mFile, join(key), null, mLine, mProblems);
    }

    /**
     * Returns the children in file order. If the value is not a mapping, adds a problem and returns
     * an empty map.
     */
    public Map<String, SettingsNode> children() {
        Map<String, SettingsNode> children = new LinkedHashMap<>();
        if (mNode == null) {
            return children;
        }
        if (!(mNode instanceof MappingNode mapping)) {
            addProblem("must be a mapping");
            return children;
        }
        for (NodeTuple tuple : mapping.getValue()) {
            String key = ((ScalarNode) scalarKey(tuple)).getValue();
            int line = tuple.getKeyNode().getStartMark().getLine() + 1;
            Node value = tuple.getValueNode();
            SettingsNode child = new SettingsNode(mFile, join(key), value, line, mProblems);
            if (children.put(key, child) != null) {
                child.addProblem("is given twice");
            }
        }
        return children;
    }

    /**
     * Returns the items of a list. If the value is not a list, adds a problem and returns an empty
     * list.
     */
    public List<SettingsNode> items() {
        List<SettingsNode> items = new ArrayList<>();
        if (mNode instanceof SequenceNode sequence) {
            for (Node item : sequence.getValue()) {
                String path = mPath + "[" + items.size() + "]";
                int line = item.getStartMark().getLine() + 1;
                items.add(new SettingsNode(mFile, path, item, line, mProblems));
            }
        } else if (mNode != null) {
            addProblem("must be a list");
        }
        return items;
    }

    /** Adds a problem for every key that is not among {@code keys}. */
    public void checkKeys(Set<String> keys) {
        children()
                .forEach(
                        (key, child) -> {
                            if (!keys.contains(key)) {
                                child.addProblem("unknown key; allowed here: " + sorted(keys));
                            }
                        });
    }

    /**
     * Returns the text of a scalar that must be present. If it is absent, adds a problem and
     * returns the fallback.
     */
    public String requireText(String fallback) {
        if (mNode == null) {
            addProblem("is missing");
            return fallback;
        }
        return text(fallback);
    }

    /**
     * Returns the text of a scalar, or the fallback if it is absent. If the value is not a scalar,
     * adds a problem and returns the fallback.
     */
    public String text(String fallback) {
        if (mNode instanceof ScalarNode scalar) {
            return scalar.getValue();
        }
        if (mNode != null) {
            addProblem("must be a single value");
        }
        return fallback;
    }

    /**
     * Returns a scalar as parsed by {@code parser}, or the fallback if it is absent. If the parser
     * throws an {@link IllegalArgumentException}, adds a problem and returns the fallback.
     */
    public <T> T read(Function<String, T> parser, T fallback) {
        if (mNode == null) {
            return fallback;
        }
        String text = text("");
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            addProblem(String.valueOf(e.getMessage()));
            return fallback;
        }
    }

    private static Node scalarKey(NodeTuple tuple) {
        Node key = tuple.getKeyNode();
        return key instanceof ScalarNode
                ? key
                : new ScalarNode(
                        org.yaml.snakeyaml.nodes.Tag.STR,
                        "?",
                        key.getStartMark(),
                        key.getEndMark(),
                        org.yaml.snakeyaml.DumperOptions.ScalarStyle.PLAIN);
    }

    private String join(String key) {
        return mPath.isEmpty() ? key : mPath + "." + key;
    }

    private static String sorted(Set<String> keys) {
        return String.join(", ", keys.stream().sorted().toList());
    }
}
