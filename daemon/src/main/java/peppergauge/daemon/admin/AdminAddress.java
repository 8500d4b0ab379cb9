package peppergauge.daemon.admin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Path;
import java.util.Optional;
import peppergauge.daemon.file.AdminSection;
import peppergauge.operator.Values;

/**
 * The address of the admin socket.
 *
 * @param path path of a Unix socket; empty for a loopback port
 * @param port port on the loopback address, used if there is no path
 */
public record AdminAddress(Optional<Path> path, int port) {

    /** Returns the address that an operator file configures; empty if it configures none. */
    public static Optional<AdminAddress> of(Values file) {
        return file.find(AdminSection.TABLE)
                .filter(admin -> admin.find(AdminSection.SOCKET).isPresent()
                        || admin.find(AdminSection.PORT).isPresent())
                .map(admin -> new AdminAddress(
                        admin.find(AdminSection.SOCKET).map(Path::of),
                        admin.find(AdminSection.PORT).orElse(0L).intValue()));
    }

    SocketAddress address() {
        return path.<SocketAddress>map(UnixDomainSocketAddress::of)
                .orElseGet(() -> new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    StandardProtocolFamily family() {
        return path.isPresent() ? StandardProtocolFamily.UNIX : StandardProtocolFamily.INET;
    }
}
