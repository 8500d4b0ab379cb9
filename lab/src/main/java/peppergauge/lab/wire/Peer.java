package peppergauge.lab.wire;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/** One end of a connection on a loop; all methods are for the loop's thread only. */
public abstract class Peer implements Loop.Handler {

    private final SocketChannel channel;
    private final Speech speech;
    private final Message.Inbox inbox;
    private boolean mute;

    /** @throws IOException if the connection is gone already */
    protected Peer(SocketChannel channel) throws IOException {
        this(channel, Speech.HTTP);
    }

    /** @throws IOException if the connection is gone already */
    protected Peer(SocketChannel channel, Speech speech) throws IOException {
        this.channel = channel;
        this.speech = speech;
        inbox = new Message.Inbox(speech);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    /**
     * A whole message has come in.
     *
     * @throws IOException if it cannot be answered; the connection is then closed
     */
    protected abstract void received(Message message) throws IOException;

    /** The connection is up; only where this end opened it. */
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
                // What a silent machine is sent is lost, and so is the end of a connection.
                inbox.clear();
                key.interestOps(open ? SelectionKey.OP_READ : 0);
                return;
            }
            for (Message next = inbox.next(); next != null && isOpen(); next = inbox.next()) {
                received(next);
            }
            // A connection that this end has closed meanwhile is replaced already.
            if (!open && isOpen()) {
                throw new IOException("the peer closed");
            }
        }
    }

    /** False once this end has closed it. */
    public boolean isOpen() {
        return channel.isOpen();
    }

    /** Whether its machine is gone; then it is not told when the far end closes. */
    public boolean isMute() {
        return mute;
    }

    /** From now on nothing is read and nothing written, and the connection stays open: its machine is gone. */
    public void mute() {
        mute = true;
    }

    /**
     * A message is small and alone on its connection: what the socket does not take at once shows a stuck peer.
     *
     * @throws IOException if the peer does not read, or the connection is gone
     */
    public void write(byte[] message) throws IOException {
        if (mute) {
            return;
        }
        byte[] spelled = speech.write(message);
        if (channel.write(ByteBuffer.wrap(spelled)) < spelled.length) {
            throw new IOException("the peer does not read");
        }
    }

    public void close() {
        try {
            channel.close();
        } catch (IOException failed) {
            // It is gone either way.
        }
    }

    /** Closes as the system does for a process that died with something unread: by a reset. */
    public void reset() {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException gone) {
            // Then it is reset already.
        }
        close();
    }
}
