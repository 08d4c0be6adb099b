import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A relay of TCP connections to one port. While it is cut, nothing passes in either direction;
 * connections of that time, and those that were open, end when it heals.
 */
final class Relay {
    private final ServerSocket mServer;
    private final int mTarget;
    private final List<Socket> mSockets = new ArrayList<>();
    private volatile boolean mCut;

    Relay(int target) throws IOException {
        mTarget = target;
        mServer = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    int port() {
        return mServer.getLocalPort();
    }

    void cut() {
        mCut = true;
    }

    void heal() {
        List<Socket> ended;
        synchronized (mSockets) {
            ended = new ArrayList<>(mSockets);
            mSockets.clear();
            mCut = false;
        }
        ended.forEach(Relay::close);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It has ended already.
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket near = mServer.accept();
                near.setTcpNoDelay(true);
                synchronized (mSockets) {
                    mSockets.add(near);
                    if (mCut) {
                        continue;
                    }
                }
                Socket far = new Socket(InetAddress.getLoopbackAddress(), mTarget);
                far.setTcpNoDelay(true);
                synchronized (mSockets) {
                    mSockets.add(far);
                }
                start(() -> pass(near, far));
                start(() -> pass(far, near));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void pass(Socket from, Socket to) {
        byte[] buffer = new byte[64 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (mCut) {
                    return;
                }
                out.write(buffer, 0, count);
            }
        } catch (IOException ignored) {
            // Either side has ended.
        }
        if (!mCut) {
            close(from);
            close(to);
        }
    }
}
