/**
 * Tells whether the other side has ended a connection in order, rather than by a reset. The runtime reports a reset as
 * an orderly end if it reads it together with the last data. The operating system still keeps the reset for the next
 * write, which also a write of no bytes learns of; on a connection that was ended in order, such a write sends nothing.
 */
import type { Socket } from "node:net";
import type { FailureBoundary } from "../../common/failure-boundary.js";

/**
 * Resolves to true once the other side has ended the connection in order, and to false once the connection is closed in
 * any other way, also if it is closed before bytes that were written earlier are sent.
 */
export function endsInOrder(socket: Socket, boundary: FailureBoundary): Promise<boolean> {
    return new Promise(resolve => {
        // The listeners that were there before close the connection.
        socket.prependOnceListener(
            "end",
            boundary.wrap(() => socket.write("", error => resolve(error === undefined || error === null))),
        );
        socket.once("close", boundary.wrap(() => resolve(false)));
    });
}
