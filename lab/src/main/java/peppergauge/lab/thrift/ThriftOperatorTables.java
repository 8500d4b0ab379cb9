package peppergauge.lab.thrift;

import java.util.List;

/** Writes the operator file's tables for the Thrift service of {@link ThriftCodec}. */
public final class ThriftOperatorTables {

    private ThriftOperatorTables() {}

    /**
     * Returns the tables {@code [thrift]} of a daemon's operator file.
     *
     * @param listen address of the listener, as {@code host:port}
     * @param form Thrift transport and protocol of clients and servers, such as {@code framed-compact}
     * @param classes names of the request classes, each of which has a method
     */
    public static String tables(String listen, String form, List<String> classes) {
        StringBuilder text = new StringBuilder("[thrift]\nlisten = \"" + listen + "\"\n[thrift.servers]\nform = \""
                + form + "\"\nprobe = \"" + ThriftCodec.PROBE + "\"\n");
        for (String each : classes) {
            text.append("[[thrift.method]]\nname = \"")
                    .append(ThriftCodec.method(each))
                    .append("\"\nclass = \"")
                    .append(each)
                    .append("\"\nid = \"1.1\"\ntenant = \"1.2\"\nremaining = \"1.3\"\nkey = \"1.4\"\n"
                            + "never-ran = [1]\nload = \"0.")
                    .append(ThriftCodec.LOAD)
                    .append("\"\n");
        }
        return text.toString();
    }
}
