/**
 * A stand-in for the platform's metadata store: items with revisions, leases, long polls, conditional writes. Each router gets a
 * port of its own, so that the store can turn single routers away.
 */
import { createServer } from "node:http";

const itemsInPage = 500;

export class Store {
    /** Stated in all answers. */
    era = 1;
    /** Undefined, or how the store fails for all: `busy` answers 503, `silent` answers nothing. */
    trouble;
    /** Revision of the last change. */
    revision = 100;
    items = new Map();
    changes = [];
    leases = new Map();
    nextLease = 1_000;
    compactedAt = 0;
    polls = new Set();
    servers = [];
    /** Called after each change of a key. */
    onChange = () => undefined;

    /** Opens one more port, on which the store may be in trouble of its own. */
    async open() {
        const door = { trouble: undefined, address: "", calls: 0 };
        const server = createServer((request, response) => {
            door.calls++;
            this.handle(door, request, response).catch(() => response.destroy());
        });
        await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
        door.address = `127.0.0.1:${server.address().port}`;
        door.server = server;
        this.servers.push(server);
        return door;
    }

    stop() {
        this.leases.forEach(({ timer }) => clearTimeout(timer));
        this.servers.forEach(server => {
            server.close();
            server.closeAllConnections();
        });
    }

    read(key) {
        const item = this.items.get(key);
        return item === undefined ? undefined : Buffer.from(item.value, "base64").toString();
    }

    put(key, value, lease = 0) {
        const text = typeof value === "string" ? value : JSON.stringify(value);
        this.write(key, Buffer.from(text).toString("base64"), lease);
    }

    remove(key) {
        if (this.items.delete(key)) {
            this.record({ key, revision: ++this.revision, tombstone: true });
        }
    }

    write(key, value, lease) {
        const before = this.items.get(key);
        const revision = ++this.revision;
        const item = { key, value, revision, create_rev: before?.create_rev ?? revision, lease };
        this.items.set(key, item);
        this.record(item);
    }

    record(change) {
        this.changes.push(change);
        this.onChange(change);
        [...this.polls].forEach(wake => wake());
    }

    async handle(door, request, response) {
        const body = await readAll(request);
        const trouble = this.trouble ?? door.trouble;
        response.setHeader("Store-Era", String(this.era));
        if (trouble === "silent") {
            return;
        }
        if (trouble === "busy") {
            answer(response, 503);
            return;
        }
        const url = new URL(request.url, "http://store");
        const [, call, id] = url.pathname.split("/");
        const query = url.searchParams;
        switch (call) {
            case "kv-key":
                this.readKey(query.get("key"), response);
                return;
            case "kv-range":
                this.range(query, response);
                return;
            case "kv-watch":
                await this.watch(query, response, () => (this.trouble ?? door.trouble) === "silent");
                return;
            case "kv-txn":
                this.transact(JSON.parse(body), response);
                return;
            case "kv-lease":
                this.grant(JSON.parse(body).ttl_ms, response);
                return;
            case "kv-keep":
                this.keep(Number(id), response);
                return;
            case "kv-lease-end":
                this.endLease(Number(id));
                answer(response, 200, {});
                return;
            default:
                answer(response, 400);
        }
    }

    readKey(key, response) {
        const item = this.items.get(key);
        answer(response, item === undefined ? 404 : 200, { ...item, store_revision: this.revision });
    }

    range(query, response) {
        const after = query.get("after_revision") ?? "";
        const items = [...this.items.values()]
            .filter(({ key }) => key.startsWith(query.get("path_prefix")) && key > after)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        const page = items.slice(0, itemsInPage);
        answer(response, 200, { items: page, has_more: page.length < items.length, store_revision: this.revision });
    }

    async watch(query, response, isSilent) {
        const after = Number(query.get("after_revision"));
        if (after < this.compactedAt || after > this.revision) {
            answer(response, 410);
            return;
        }
        const find = () =>
            this.changes.filter(({ key, revision }) => revision > after && key.startsWith(query.get("path_prefix")));
        if (find().length === 0) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.polls.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, Math.min(30_000, Number(query.get("wait_ms"))));
                this.polls.add(wake);
                response.on("close", wake);
            });
        }
        if (!isSilent()) {
            answer(response, 200, { events: find(), store_revision: this.revision });
        }
    }

    transact({ expected, writes, remove }, response) {
        if (writes.some(({ lease }) => lease !== 0 && lease !== undefined && !this.leases.has(lease))) {
            answer(response, 404);
            return;
        }
        if (expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
            answer(response, 412, { items: expected.map(({ key }) => this.items.get(key)).filter(item => item) });
            return;
        }
        writes.forEach(({ key, value, lease }) => this.write(key, value, lease ?? 0));
        remove.forEach(key => this.remove(key));
        answer(response, 200, { revision: this.revision });
    }

    grant(milliseconds, response) {
        const lease = this.nextLease++;
        this.startLease(lease, milliseconds);
        answer(response, 200, { lease, ttl_ms: milliseconds });
    }

    keep(lease, response) {
        const held = this.leases.get(lease);
        if (held !== undefined) {
            this.startLease(lease, held.milliseconds);
        }
        answer(response, held === undefined ? 404 : 200, {});
    }

    startLease(lease, milliseconds) {
        clearTimeout(this.leases.get(lease)?.timer);
        const timer = setTimeout(() => this.lapse(lease, milliseconds), milliseconds);
        this.leases.set(lease, { milliseconds, timer });
    }

    /** Leases pause while the store is down. */
    lapse(lease, milliseconds) {
        if (this.trouble !== undefined) {
            this.startLease(lease, milliseconds);
        }
        else {
            this.endLease(lease);
        }
    }

    endLease(lease) {
        clearTimeout(this.leases.get(lease)?.timer);
        this.leases.delete(lease);
        [...this.items.values()].filter(item => item.lease === lease).forEach(({ key }) => this.remove(key));
    }
}

function answer(response, status, body) {
    const text = body === undefined ? "" : JSON.stringify(body);
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    response.end(text);
}

async function readAll(stream) {
    const chunks = [];
    for await (const chunk of stream) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString();
}
