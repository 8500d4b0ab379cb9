package peppergauge.cost;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/** One end of a connection on a loop. */
abstract class Peer implements Loop.Handler {

    private final SocketChannel channel;
    private final Message.Inbox inbox = new Message.Inbox();

    Peer(SocketChannel channel) throws IOException {
        this.channel = channel;
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    abstract void received(Message message) throws IOException;

    /** The connection is up; only where this end opened it. */
    void connected() throws IOException { }

    @Override
    public void broken() { }

    @Override
    public final void ready(SelectionKey key) throws IOException {
        if (key.isConnectable() && channel.finishConnect()) {
            key.interestOps(SelectionKey.OP_READ);
            connected();
        } else if (key.isReadable()) {
            boolean open = inbox.fill(channel);
            for (Message next = inbox.next(); next != null && isOpen(); next = inbox.next()) {
                received(next);
            }
            // A connection that this end has closed meanwhile is replaced already.
            if (!open && isOpen()) {
                throw new IOException("the peer closed");
            }
        }
    }

    boolean isOpen() {
        return channel.isOpen();
    }

    /** A message is small and alone on its connection: what the socket does not take at once shows a stuck peer. */
    void write(byte[] message) throws IOException {
        if (channel.write(ByteBuffer.wrap(message)) < message.length) {
            throw new IOException("the peer does not read");
        }
    }

    void close() {
        try {
            channel.close();
        } catch (IOException failed) {
            // It is gone either way.
        }
    }
}
