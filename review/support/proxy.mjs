// A TCP proxy on loopback that can make its open connections go silent for good while new ones work.
import { connect, createServer } from "node:net";

export class Proxy {
    #links = new Set();
    #server;

    constructor(targetPort) {
        this.targetPort = targetPort;
        this.#server = createServer({ allowHalfOpen: true }, incoming => {
            const outgoing = connect({ port: this.targetPort, host: "127.0.0.1", allowHalfOpen: true });
            const link = { incoming, outgoing, silent: false };
            this.#links.add(link);
            for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]]) {
                from.on("data", chunk => link.silent || to.write(chunk));
                from.on("end", () => link.silent || to.end());
                from.on("error", () => link.silent || to.destroy());
                from.on("close", () => {
                    if (!link.silent) {
                        this.#links.delete(link);
                        to.destroy();
                    }
                });
            }
        });
    }

    async start() {
        await new Promise(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        return this.#server.address().port;
    }

    /** Returns how many connections were open. */
    silenceOpenConnections() {
        const open = [...this.#links].filter(link => !link.silent);
        open.forEach(link => {
            link.silent = true;
        });
        return open.length;
    }

    stop() {
        this.#links.forEach(({ incoming, outgoing }) => {
            incoming.destroy();
            outgoing.destroy();
        });
        this.#server.close();
    }
}
