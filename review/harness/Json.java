import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON. Numbers without a fraction become {@code Long}. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    private char next() {
        while (Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
        return mText.charAt(mAt);
    }

    private Object value() {
        char c = next();
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            mAt++;
            while (next() != '}') {
                String key = string();
                next();
                mAt++;
                map.put(key, value());
                if (next() == ',') {
                    mAt++;
                }
            }
            mAt++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            mAt++;
            while (next() != ']') {
                list.add(value());
                if (next() == ',') {
                    mAt++;
                }
            }
            mAt++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int begin = mAt;
        while (mAt < mText.length() && ",]} \r\n\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(begin, mAt);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
        };
    }

    private String string() {
        next();
        mAt++;
        int end = mText.indexOf('"', mAt);
        if (mText.substring(mAt, end).indexOf('\\') < 0) {
            String plain = mText.substring(mAt, end);
            mAt = end + 1;
            return plain;
        }
        StringBuilder text = new StringBuilder();
        while (mText.charAt(mAt) != '"') {
            char c = mText.charAt(mAt++);
            if (c == '\\') {
                char escaped = mText.charAt(mAt++);
                switch (escaped) {
                    case 'n' -> text.append('\n');
                    case 't' -> text.append('\t');
                    case 'r' -> text.append('\r');
                    case 'u' -> {
                        text.append((char) Integer.parseInt(mText.substring(mAt, mAt + 4), 16));
                        mAt += 4;
                    }
                    default -> text.append(escaped);
                }
            } else {
                text.append(c);
            }
        }
        mAt++;
        return text.toString();
    }
}
