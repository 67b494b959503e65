/** The servers at fault for runs of one stream that failed: later runs avoid them, and refusals are held against them by all requests. */
import type { Dialect } from "../../domain/gateway/dialect.js";
import { formatSocketAddress, type ServerEntry } from "../../domain/gateway/server-entry.js";
import { ConnectionFailure } from "../../errors/index.js";
import type { ServerExclusions } from "../../process/gateway/server-exclusions.js";
import type { ServerRegistry } from "../../process/gateway/server-registry.js";
import type { LayerPath } from "./layer-path-finder.js";
import { AttemptEnd, type AttemptResult } from "./stream-attempt.js";

export interface ServerFaultsDependencies {
    readonly dialect: Dialect;
    readonly registry: ServerRegistry;
    readonly exclusions: ServerExclusions;
}

const serviceUnavailableStatus = 503;

export class ServerFaults {
    private readonly avoided = new Set<string>();

    constructor(private readonly dependencies: ServerFaultsDependencies) {}

    /** IDs of the servers that later runs of the stream avoid. */
    get avoidedServers(): ReadonlySet<string> {
        return this.avoided;
    }

    avoid(serverIds: Iterable<string>): void {
        for (const id of serverIds) {
            this.avoided.add(id);
        }
    }

    record(path: LayerPath, result: AttemptResult): void {
        const first = path.parts[0]!.server;
        const atFault = this.serverAtFault(result) ?? first;
        if (result.end === AttemptEnd.notRun) {
            this.avoided.add(atFault.id);
            this.recordRefusal(atFault, result);
        }
        else if (result.end === AttemptEnd.failure) {
            this.avoided.add(atFault.id);
        }
        else if (result.connectionFailure === ConnectionFailure.protocol) {
            // The first server of a path writes the whole response; the others only compute its content.
            this.avoided.add(first.id);
        }
        else if (result.end === AttemptEnd.broken) {
            this.avoid(path.parts.map(({ server }) => server.id));
        }
    }

    /** Returns the server that a refusal names as the cause, if it names a registered one. */
    serverAtFault({ head }: AttemptResult): ServerEntry | undefined {
        const { dialect, registry } = this.dependencies;
        const value = head?.headers[dialect.headers.serverAtFault];
        const address = typeof value === "string" ? dialect.parseAddress(value) : undefined;
        return address === undefined ? undefined : registry.findByAddress(formatSocketAddress(address))?.entry;
    }

    private recordRefusal(server: ServerEntry, { head, reason, connectionFailure }: AttemptResult): void {
        const { exclusions } = this.dependencies;
        // The runtime's refusal to send a request says nothing about the server.
        if (connectionFailure === ConnectionFailure.unsendable) {
            return;
        }
        if (head?.status === serviceUnavailableStatus) {
            exclusions.recordRefusal(server, reason);
        }
        else {
            exclusions.recordFailure(server, reason);
        }
    }
}
