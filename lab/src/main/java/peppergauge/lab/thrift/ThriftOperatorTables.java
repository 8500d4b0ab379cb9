package peppergauge.lab.thrift;

import java.util.List;

/** What an operator would write for the service that {@link ThriftSpeech} speaks. */
public final class ThriftFile {

    private ThriftFile() {}

    /**
     * The tables {@code [thrift]} of a daemon's file.
     *
     * @param listen host:port
     * @param form of clients and servers
     */
    public static String tables(String listen, String form, List<String> classes) {
        StringBuilder text = new StringBuilder("[thrift]\nlisten = \"" + listen + "\"\n[thrift.servers]\nform = \""
                + form + "\"\nprobe = \"" + ThriftSpeech.PROBE + "\"\n");
        for (String each : classes) {
            text.append("[[thrift.method]]\nname = \"")
                    .append(ThriftSpeech.method(each))
                    .append("\"\nclass = \"")
                    .append(each)
                    .append("\"\nid = \"1.1\"\ntenant = \"1.2\"\nremaining = \"1.3\"\nkey = \"1.4\"\n"
                            + "never-ran = [1]\nload = \"0.")
                    .append(ThriftSpeech.LOAD)
                    .append("\"\n");
        }
        return text.toString();
    }
}
