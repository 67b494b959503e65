/**
 * A stand-in for one replica of a plain service, as a process. Its answers have neither a length nor chunks, and end with their
 * connection; the second half of the body follows a moment after the first.
 */
import { createServer } from "node:http";

const { id, host, port, bodyBytes, pauseMilliseconds } = JSON.parse(process.argv[2]);

function wholeBody(requestId) {
    const start = `answer to ${requestId}: `;
    return start + "x".repeat(bodyBytes - start.length - 1) + ".";
}

createServer((request, response) => {
    request.resume();
    request.on("end", () => {
        const { "x-expect-replica": expected, "x-attempt-id": requestId } = request.headers;
        if (expected !== undefined && expected !== id) {
            response.writeHead(421, { "X-Replica-Id": id }).end();
            return;
        }
        if (request.url === "/health") {
            response.writeHead(200, { "X-Replica-Id": id }).end();
            return;
        }
        const { socket } = request;
        const body = wholeBody(requestId);
        const half = bodyBytes / 2;
        const head =
            `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${requestId}\r\nX-Replica-Seal: seal-${id}\r\nConnection: close\r\n\r\n`;
        socket.write(head + body.slice(0, half));
        setTimeout(() => socket.end(body.slice(half)), pauseMilliseconds);
    });
}).listen(port, host, () => process.send?.("started"));
process.on("disconnect", () => process.exit(0));
