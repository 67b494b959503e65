// Stand-in of the platform's key-value store: revisions, leases, long polls, and a change history.
import { createServer } from "node:http";

const pageItems = 500;

export class Store {
    #items = new Map();
    #changes = [];
    #revision = 1;
    #nextLease = 100;
    #leases = new Map();
    #polls = new Set();
    #server = createServer((request, response) => void this.#handle(request, response));
    /** Called with the name of each call and the local port of its connection. */
    onCall = () => {};

    constructor() {
        this.#server.keepAliveTimeout = 60_000;
    }

    async start() {
        await new Promise(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        return this.#server.address().port;
    }

    stop() {
        this.#leases.forEach(({ timer }) => clearTimeout(timer));
        this.#server.closeAllConnections();
        this.#server.close();
    }

    put(key, value, lease = 0) {
        this.#write(key, Buffer.from(JSON.stringify(value)).toString("base64"), lease);
    }

    remove(key) {
        if (this.#items.delete(key)) {
            this.#record({ key, revision: ++this.#revision, tombstone: true });
        }
    }

    grant(milliseconds) {
        const lease = this.#nextLease++;
        this.#leases.set(lease, { milliseconds, timer: undefined });
        this.keep(lease);
        return lease;
    }

    keep(lease) {
        const state = this.#leases.get(lease);
        if (state === undefined) {
            return false;
        }
        clearTimeout(state.timer);
        state.timer = setTimeout(() => this.end(lease), state.milliseconds);
        return true;
    }

    end(lease) {
        clearTimeout(this.#leases.get(lease)?.timer);
        this.#leases.delete(lease);
        [...this.#items.values()].filter(item => item.lease === lease).forEach(({ key }) => this.remove(key));
    }

    #write(key, value, lease) {
        const before = this.#items.get(key);
        const revision = ++this.#revision;
        const item = { key, value, revision, create_rev: before?.create_rev ?? revision, lease };
        this.#items.set(key, item);
        this.#record(item);
    }

    #record(change) {
        this.#changes.push(change);
        [...this.#polls].forEach(wake => wake());
    }

    async #handle(request, response) {
        const url = new URL(request.url, "http://store");
        const [, call, id] = url.pathname.split("/");
        this.onCall(call, request.socket.remotePort);
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const body = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
        const query = url.searchParams;
        switch (call) {
            case "kv-key": {
                const item = this.#items.get(query.get("key"));
                send(response, item === undefined ? 404 : 200, { ...item, store_revision: this.#revision });
                break;
            }
            case "kv-range":
                this.#range(query, response);
                break;
            case "kv-watch":
                await this.#watch(query, response);
                break;
            case "kv-txn":
                this.#transact(body, response);
                break;
            case "kv-lease":
                send(response, 200, { lease: this.grant(body.ttl_ms), ttl_ms: body.ttl_ms });
                break;
            case "kv-keep":
                send(response, this.keep(Number(id)) ? 200 : 404, {});
                break;
            case "kv-lease-end":
                this.end(Number(id));
                send(response, 200, {});
                break;
            default:
                send(response, 400, {});
        }
    }

    #range(query, response) {
        const after = query.get("after_revision") ?? "";
        const items = [...this.#items.values()]
            .filter(({ key }) => key.startsWith(query.get("path_prefix")) && key > after)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        const page = items.slice(0, pageItems);
        send(response, 200, { items: page, has_more: page.length < items.length, store_revision: this.#revision });
    }

    async #watch(query, response) {
        const after = Number(query.get("after_revision"));
        const find = () =>
            this.#changes.filter(({ key, revision }) => key.startsWith(query.get("path_prefix")) && revision > after);
        if (find().length === 0) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.#polls.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, Number(query.get("wait_ms")));
                this.#polls.add(wake);
            });
        }
        send(response, 200, { events: find(), store_revision: this.#revision });
    }

    #transact({ expected = [], writes = [], remove = [] }, response) {
        const current = expected.map(({ key }) => this.#items.get(key)).filter(item => item !== undefined);
        if (expected.some(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
            send(response, 412, { items: current });
            return;
        }
        if (writes.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) {
            send(response, 404, {});
            return;
        }
        writes.forEach(({ key, value, lease = 0 }) => this.#write(key, value, lease));
        remove.forEach(key => this.remove(key));
        send(response, 200, { revision: this.#revision });
    }
}

function send(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    response.end(text);
}
