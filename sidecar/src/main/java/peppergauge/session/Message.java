package peppergauge.session;
import java.util.List;

/** What a session asks or is answered, passed on unread: {@code verb} and {@code target} only when asked. */
public record Message(String verb, String target, List<Field> fields, byte[] body) {

    /** A named value beside the body. */
    public record Field(String name, String value) { }

    public Message {
        fields = List.copyOf(fields);
    }
}
