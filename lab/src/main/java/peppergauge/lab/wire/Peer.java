package peppergauge.lab.wire;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/** One end of a connection on an event loop. All methods are for the loop's thread only. */
public abstract class Peer implements Loop.Handler {

    private final SocketChannel channel;
    private final MessageCodec codec;
    private final Message.Inbox inbox;
    private boolean mute;

    /** @throws IOException if the connection has failed already */
    protected Peer(SocketChannel channel) throws IOException {
        this(channel, MessageCodec.HTTP);
    }

    /** @throws IOException if the connection has failed already */
    protected Peer(SocketChannel channel, MessageCodec codec) throws IOException {
        this.channel = channel;
        this.codec = codec;
        inbox = new Message.Inbox(codec);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    /**
     * Handles a complete message.
     *
     * @throws IOException if it cannot be answered; the connection is then closed
     */
    protected abstract void received(Message message) throws IOException;

    /** The connection is established. Called only on the end that opened it. */
    protected void connected() throws IOException {}

    @Override
    public void broken() {}

    @Override
    public final void ready(SelectionKey key) throws IOException {
        if (key.isConnectable() && channel.finishConnect()) {
            key.interestOps(SelectionKey.OP_READ);
            connected();
        } else if (key.isReadable()) {
            boolean open = inbox.fill(channel);
            if (mute) {
                // Bytes sent to a host that has disappeared are lost, and so is the end of the connection.
                inbox.clear();
                key.interestOps(open ? SelectionKey.OP_READ : 0);
                return;
            }
            for (Message next = inbox.next(); next != null && isOpen(); next = inbox.next()) {
                received(next);
            }
            // A connection that a handler has closed meanwhile has been replaced already.
            if (!open && isOpen()) {
                throw new IOException("connection closed by the peer");
            }
        }
    }

    /** Returns whether this end has not closed the connection. */
    public boolean isOpen() {
        return channel.isOpen();
    }

    /** Returns whether this end is muted, so that it does not notice when the other end closes. */
    public boolean isMute() {
        return mute;
    }

    /** Stops reading and writing and leaves the connection open, as when this end's host disappears. */
    public void mute() {
        mute = true;
    }

    /**
     * Writes a message. Messages are small and one at a time, so a partial write means that the peer does not read.
     *
     * @throws IOException if the peer does not read, or the connection has failed
     */
    public void write(byte[] message) throws IOException {
        if (mute) {
            return;
        }
        byte[] encoded = codec.write(message);
        if (channel.write(ByteBuffer.wrap(encoded)) < encoded.length) {
            throw new IOException("partial write: the peer does not read");
        }
    }

    public void close() {
        try {
            channel.close();
        } catch (IOException failed) {
            // The channel is closed even if close() fails.
        }
    }

    /** Closes by a reset, as the kernel does for a killed process with unread data. */
    public void reset() {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException gone) {
            // The socket is closed already.
        }
        close();
    }
}
