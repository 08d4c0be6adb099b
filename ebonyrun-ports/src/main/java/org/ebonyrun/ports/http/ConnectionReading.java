package org.ebonyrun.ports.http;

import java.io.IOException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.NIOConnection;

/** Starts and stops reading from connections. Stateless and thread safe. */
final class ConnectionReading {
    private ConnectionReading() {}

    /** Starts or stops reading from a connection; closes it if that is impossible. */
    static void set(Connection<?> connection, boolean reading) {
        NIOConnection nio = (NIOConnection) connection;
        try {
            if (reading) {
                nio.enableIOEvent(IOEvent.READ);
            } else {
                nio.disableIOEvent(IOEvent.READ);
            }
        } catch (IOException ignored) {
            // The connection is closed already, or can't be used.
            connection.closeSilently();
        }
    }
}
