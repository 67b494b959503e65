// Finds free ports on loopback.
import { createServer } from "node:net";

const givenPorts = new Set();

/** A free port below those that the system gives to outgoing connections, so that it stays free until it is used. */
export async function freePort() {
    for (;;) {
        const port = 20_000 + Math.floor(Math.random() * 12_000);
        const server = createServer();
        const free = !givenPorts.has(port) && await new Promise(resolve => {
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
        });
        if (free) {
            givenPorts.add(port);
            return port;
        }
    }
}
