/** A TCP proxy on loopback whose open connections can be made to go silent for good, without a reset, while new ones work. */
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import type { SocketAddress } from "../../src/domain/gateway/server-entry.js";

export class SilencingProxy {
    connections = 0;
    private silent = new Set<Socket>();
    private readonly sockets = new Set<Socket>();
    private readonly server: Server;

    constructor(target: SocketAddress) {
        this.server = createServer(incoming => {
            this.connections++;
            const outgoing = connect(target.port, target.host);
            this.forward(incoming, outgoing);
            this.forward(outgoing, incoming);
        });
    }

    async start(): Promise<SocketAddress> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return { host: "127.0.0.1", port: (this.server.address() as AddressInfo).port };
    }

    silenceOpenConnections(): void {
        this.silent = new Set(this.sockets);
    }

    async stop(): Promise<void> {
        const closed = new Promise(resolve => this.server.close(resolve));
        this.sockets.forEach(socket => socket.destroy());
        await closed;
    }

    private forward(from: Socket, to: Socket): void {
        this.sockets.add(from);
        const unlessSilent = (act: () => void) => () => {
            if (!this.silent.has(from)) {
                act();
            }
        };
        from.on("data", (chunk: Buffer) => unlessSilent(() => to.write(chunk))());
        from.on("error", unlessSilent(() => to.destroy()));
        from.on("close", unlessSilent(() => to.destroy()));
        from.on("close", () => this.sockets.delete(from));
    }
}
