/** Notices that a caller has closed its connection, as early as the closing can be read. */
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Returns a signal that is aborted once the caller has closed its connection before the response was complete.
 * The end of the socket's input is read several turns of the event loop before the response is closed, and also while
 * the response cannot be written because the caller does not read.
 */
export function watchDisconnection({ socket }: IncomingMessage, response: ServerResponse): AbortSignal {
    const controller = new AbortController();
    const abort = () => {
        if (!response.writableFinished) {
            controller.abort();
        }
    };
    socket.on("end", abort);
    socket.on("error", abort);
    response.on("error", abort);
    response.on("close", () => {
        abort();
        socket.off("end", abort);
        socket.off("error", abort);
    });
    return controller.signal;
}
