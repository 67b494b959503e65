/**
 * Clients that nobody controls, in a process of their own: they send bodies that stop just short of their end, and stay open until the
 * router closes them. Tells its parent what was sent, once a second.
 */
import { connect } from "node:net";

const { host, port, clients, path, framing, piece, bodyBytes, bytesPerSecond } = JSON.parse(process.argv[2]);
const reopenMilliseconds = 100;
const tickMilliseconds = 20;
const pieceBytes = Buffer.from(piece);
let sentBytes = 0;
let opened = 0;

const head = number =>
    `POST ${path} HTTP/1.1\r\nHost: yard.example\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: f${number}\r\n`
    + `X-Deadline-Ms: 20000\r\n${framing}\r\n\r\n`;

function open() {
    const socket = connect(port, host);
    opened++;
    let sent = 0;
    let allowed = 0;
    const timer = setInterval(() => {
        allowed = Math.min(allowed + bytesPerSecond * tickMilliseconds / 1_000, pieceBytes.length * 4);
        while (allowed >= pieceBytes.length && sent < bodyBytes && socket.writableLength === 0) {
            socket.write(pieceBytes);
            sent += pieceBytes.length;
            allowed -= pieceBytes.length;
            sentBytes += pieceBytes.length;
        }
    }, tickMilliseconds);
    socket.on("connect", () => socket.write(head(opened)));
    socket.on("error", () => undefined);
    socket.resume();
    socket.on("close", () => {
        clearInterval(timer);
        setTimeout(open, reopenMilliseconds);
    });
}

for (let count = 0; count < clients; count++) {
    open();
}
setInterval(() => process.send?.({ sentBytes, opened }), 1_000);
process.on("disconnect", () => process.exit(0));
