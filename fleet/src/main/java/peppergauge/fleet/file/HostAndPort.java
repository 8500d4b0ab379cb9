package peppergauge.fleet.file;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;
import peppergauge.operator.Type;
import peppergauge.operator.Types;

/** An address as operators write it: {@code host:port}. */
final class HostAndPort {

    static final Type<String> TYPE = Types.text(
            Pattern.compile("[0-9A-Za-z._-]{1,253}:([0-9]{1,4}|[1-5][0-9]{4}"
                    + "|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"),
            "host:port");

    private HostAndPort() {}

    static InetSocketAddress resolved(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
