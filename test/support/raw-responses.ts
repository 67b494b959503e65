/** Responses as raw bytes, cut at each point of the HTTP framing, and the ways in which their connections end. */
import type { Socket } from "node:net";

export const ConnectionEnd = {
    closed: "closed",
    closedLater: "closed later",
    /** The reset arrives together with the last bytes. */
    reset: "reset",
    resetLater: "reset later",
} as const;
export type ConnectionEnd = typeof ConnectionEnd[keyof typeof ConnectionEnd];

export const resets: readonly ConnectionEnd[] = [ConnectionEnd.reset, ConnectionEnd.resetLater];
export const closes: readonly ConnectionEnd[] = [ConnectionEnd.closed, ConnectionEnd.closedLater];

/** Long enough for the receiver to read the bytes before the connection ends. */
const laterMilliseconds = 20;

export function sendRaw(socket: Socket, bytes: string | Buffer, end: ConnectionEnd): void {
    socket.write(bytes);
    const finish = () => resets.includes(end) ? socket.resetAndDestroy() : socket.end();
    if (end === ConnectionEnd.closed || end === ConnectionEnd.reset) {
        finish();
    }
    else {
        setTimeout(finish, laterMilliseconds);
    }
}

export function chunk(text: string): string {
    return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

/** Incomplete responses, by the point at which they are cut; `headers` are lines that end with CRLF. */
export function cutResponses(headers: string, body: string, status = "200 OK"): Record<string, string> {
    const head = `HTTP/1.1 ${status}\r\n${headers}`;
    const half = body.slice(0, Math.ceil(body.length / 2));
    const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
    return {
        "in the version": "HTTP/1",
        "in the status line": `HTTP/1.1 ${status}`,
        "after the status line": `HTTP/1.1 ${status}\r\n`,
        "in a header": `${head}Content-Le`,
        "before the empty line": head,
        "in the empty line": `${head}\r`,
        "in a body with a length": `${head}Content-Length: ${body.length}\r\n\r\n${half}`,
        "before a body with a length": `${head}Content-Length: ${body.length}\r\n\r\n`,
        "in the size of a chunk": `${chunked}${body.length.toString(16)}`,
        "in a chunk": `${chunked}${body.length.toString(16)}\r\n${half}`,
        "before the last chunk": `${chunked}${chunk(body)}`,
        "after the last chunk": `${chunked}${chunk(body)}0\r\n`,
    };
}
