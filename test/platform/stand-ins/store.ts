/**
 * A stand-in for the platform's key-value service: revisions, leases, long polls and faults that tests enable. It can come back
 * from an older copy of itself, after which revisions and IDs of leases are given out again.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

interface Item {
    readonly key: string;
    readonly value: string;
    readonly revision: number;
    readonly lease: number;
}

interface Change {
    readonly key: string;
    readonly revision: number;
    readonly item: Item | undefined;
}

interface GrantedLease {
    readonly milliseconds: number;
    readonly timer: NodeJS.Timeout;
}

interface StoreCopy {
    readonly items: ReadonlyMap<string, Item>;
    readonly revision: number;
    readonly nextLease: number;
    readonly leases: ReadonlyMap<number, number>;
}

interface Transaction {
    readonly expected: readonly { readonly key: string; readonly revision: number; }[];
    readonly writes: readonly { readonly key: string; readonly value: string; readonly lease?: number; }[];
    readonly remove: readonly string[];
}

export class StandInStore {
    /** Responds to every call with status 503. */
    down = false;
    /** Delay of every answer. */
    answerMilliseconds = 0;
    /** Commits transactions but closes the connection instead of responding. */
    dropCommitResponses = false;
    itemsInPage = 3;
    /** Stated in all answers; undefined for a store without eras. */
    era: number | string | undefined;
    readonly calls: string[] = [];
    /** Milliseconds on the monotonic clock at which each of the calls arrived. */
    readonly callTimes: number[] = [];
    private copy: StoreCopy | undefined;
    private readonly items = new Map<string, Item>();
    private changes: Change[] = [];
    private compactedRevision = 0;
    private revision = 1;
    private nextLease = 100;
    private readonly leases = new Map<number, GrantedLease>();
    private readonly waitingPolls = new Set<() => void>();
    private readonly server: Server = createServer((request, response) => void this.handle(request, response));

    async start(): Promise<{ host: string; port: number; }> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return this.address;
    }

    get address(): { host: string; port: number; } {
        return { host: "127.0.0.1", port: (this.server.address() as AddressInfo).port };
    }

    async stop(): Promise<void> {
        this.leases.forEach(({ timer }) => clearTimeout(timer));
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }

    put(key: string, value: unknown, lease = 0): void {
        const text = typeof value === "string" ? value : JSON.stringify(value);
        this.write(key, Buffer.from(text).toString("base64"), lease);
    }

    delete(key: string): void {
        this.items.delete(key);
        this.record({ key, revision: ++this.revision, item: undefined });
    }

    read(key: string): string | undefined {
        const item = this.items.get(key);
        return item === undefined ? undefined : Buffer.from(item.value, "base64").toString();
    }

    /** Deletes the change history and closes all connections, which aborts pending long polls. */
    compact(): void {
        this.compactedRevision = this.revision;
        this.changes = [];
        this.server.closeAllConnections();
    }

    /** Keeps a copy of everything, to which `restoreCopy` returns. */
    takeCopy(): void {
        this.copy = {
            items: new Map(this.items),
            revision: this.revision,
            nextLease: this.nextLease,
            leases: new Map([...this.leases].map(([id, { milliseconds }]) => [id, milliseconds])),
        };
    }

    /** Returns to the copy with the next era; leases of the copy run anew. Closes all connections. */
    restoreCopy(): void {
        const { items, revision, nextLease, leases } = this.copy!;
        this.items.clear();
        items.forEach((item, key) => this.items.set(key, item));
        this.revision = revision;
        this.nextLease = nextLease;
        this.changes = this.changes.filter(change => change.revision <= revision);
        this.leases.forEach(({ timer }) => clearTimeout(timer));
        this.leases.clear();
        leases.forEach((milliseconds, id) => this.startLease(id, milliseconds));
        this.era = Number(this.era) + 1;
        this.server.closeAllConnections();
    }

    private write(key: string, value: string, lease: number): void {
        const item = { key, value, lease, revision: ++this.revision };
        this.items.set(key, item);
        this.record({ key, revision: item.revision, item });
    }

    private record(change: Change): void {
        this.changes.push(change);
        [...this.waitingPolls].forEach(wake => wake());
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url!, "http://store");
        this.calls.push(`${request.method} ${url.pathname}`);
        this.callTimes.push(performance.now());
        const body = await readBody(request);
        await new Promise(resolve => setTimeout(resolve, this.answerMilliseconds).unref());
        if (this.era !== undefined) {
            response.setHeader("Store-Era", String(this.era));
        }
        if (this.down) {
            sendResponse(response, 503, undefined);
            return;
        }
        const [, call, id] = url.pathname.split("/");
        switch (call) {
            case "kv-range":
                this.range(url.searchParams, response);
                break;
            case "kv-watch":
                await this.watch(url.searchParams, response);
                break;
            case "kv-txn":
                this.transact(JSON.parse(body) as Transaction, response);
                break;
            case "kv-lease":
                this.grant((JSON.parse(body) as { ttl_ms: number; }).ttl_ms, response);
                break;
            case "kv-keep":
                this.keep(Number(id), response);
                break;
            case "kv-lease-end":
                this.endLease(Number(id));
                sendResponse(response, 200, {});
                break;
            default:
                sendResponse(response, 400, undefined);
        }
    }

    private range(query: URLSearchParams, response: ServerResponse): void {
        const after = query.get("after_revision") ?? "";
        const items = [...this.items.values()]
            .filter(({ key }) => key.startsWith(query.get("path_prefix")!) && key > after)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        const page = items.slice(0, this.itemsInPage);
        sendResponse(response, 200, {
            items: page,
            has_more: page.length < items.length,
            store_revision: this.revision,
        });
    }

    private async watch(query: URLSearchParams, response: ServerResponse): Promise<void> {
        const prefix = query.get("path_prefix")!;
        const after = Number(query.get("after_revision"));
        if (after < this.compactedRevision || after > this.revision) {
            sendResponse(response, 410, undefined);
            return;
        }
        const findChanges = () =>
            this.changes.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
        if (findChanges().length === 0) {
            await new Promise<void>(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.waitingPolls.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, Number(query.get("wait_ms"))).unref();
                this.waitingPolls.add(wake);
            });
        }
        const events = findChanges().map(({ key, revision, item }) => item ?? { key, revision, tombstone: true });
        sendResponse(response, 200, { events, store_revision: this.revision });
    }

    private transact(transaction: Transaction, response: ServerResponse): void {
        const failed = transaction.expected.some(({ key, revision }) =>
            (this.items.get(key)?.revision ?? 0) !== revision
        );
        if (transaction.writes.some(({ lease }) => lease !== undefined && lease !== 0 && !this.leases.has(lease))) {
            sendResponse(response, 404, {});
            return;
        }
        if (failed) {
            sendResponse(response, 412, { items: [] });
            return;
        }
        transaction.writes.forEach(({ key, value, lease }) => this.write(key, value, lease ?? 0));
        if (this.dropCommitResponses) {
            response.destroy();
            return;
        }
        sendResponse(response, 200, { revision: this.revision });
    }

    private grant(timeToLiveMilliseconds: number, response: ServerResponse): void {
        const lease = this.nextLease++;
        this.startLease(lease, timeToLiveMilliseconds);
        sendResponse(response, 200, { lease, ttl_ms: timeToLiveMilliseconds });
    }

    private keep(lease: number, response: ServerResponse): void {
        const milliseconds = this.leases.get(lease)?.milliseconds;
        if (milliseconds !== undefined) {
            this.startLease(lease, milliseconds);
        }
        sendResponse(response, milliseconds === undefined ? 404 : 200, {});
    }

    private startLease(lease: number, milliseconds: number): void {
        clearTimeout(this.leases.get(lease)?.timer);
        this.leases.set(lease, { milliseconds, timer: setTimeout(() => this.endLease(lease), milliseconds) });
    }

    private endLease(lease: number): void {
        clearTimeout(this.leases.get(lease)?.timer);
        this.leases.delete(lease);
        [...this.items.values()].filter(item => item.lease === lease).forEach(({ key }) => this.delete(key));
    }
}

function sendResponse(response: ServerResponse, status: number, body: unknown): void {
    const text = body === undefined ? "" : JSON.stringify(body);
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    response.end(text);
}

async function readBody(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString();
}
