/** A stand-in for the platform's store, with the calls of PROTOCOL.md: items, revisions, leases and long polls. */
import { createServer } from "node:http";

const pageItems = 500;

export class Store {
    /** Delay of every answer. */
    answerMilliseconds = 4;
    #items = new Map();
    #changes = [];
    #revision = 10;
    #nextLease = 1_000;
    #leases = new Map();
    #waiting = new Set();
    #server = createServer((request, response) => this.#handle(request, response));

    async start(host) {
        await new Promise(resolve => this.#server.listen(0, host, resolve));
        return `${host}:${this.#server.address().port}`;
    }

    stop() {
        this.#leases.forEach(({ timer }) => clearTimeout(timer));
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Writes an item as the operator or a backend server; returns its revision. */
    put(key, value, lease = 0) {
        const encoded = Buffer.from(typeof value === "string" ? value : JSON.stringify(value)).toString("base64");
        return this.#write(key, encoded, lease);
    }

    delete(key) {
        const before = this.#items.get(key);
        if (before !== undefined) {
            this.#items.delete(key);
            this.#record({ key, revision: ++this.#revision, tombstone: true });
        }
    }

    /** Keys under the prefix, for the record of a case. */
    keys(prefix) {
        return [...this.#items.keys()].filter(key => key.startsWith(prefix));
    }

    #write(key, value, lease) {
        const revision = ++this.#revision;
        const item = { key, value, revision, create_rev: this.#items.get(key)?.create_rev ?? revision, lease };
        this.#items.set(key, item);
        this.#record(item);
        return revision;
    }

    #record(change) {
        this.#changes.push(change);
        [...this.#waiting].forEach(wake => wake());
    }

    async #handle(request, response) {
        const url = new URL(request.url, "http://store");
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const text = Buffer.concat(chunks).toString();
        await new Promise(resolve => setTimeout(resolve, this.answerMilliseconds));
        const body = text === "" ? undefined : JSON.parse(text);
        const [, call, id] = url.pathname.split("/");
        const { status, answer } = await this.#call(request.method, call, id, url.searchParams, body);
        const content = answer === undefined ? "" : JSON.stringify(answer);
        response.writeHead(status, {
            "Content-Type": "application/json",
            "Content-Length": String(Buffer.byteLength(content)),
        });
        response.end(content);
    }

    #call(method, call, id, query, body) {
        switch (`${method} ${call}`) {
            case "GET kv-key":
                return this.#read(query.get("key"));
            case "GET kv-range":
                return this.#range(query.get("path_prefix"), query.get("after_revision") ?? "");
            case "GET kv-watch":
                return this.#watch(
                    query.get("path_prefix"),
                    Number(query.get("after_revision")),
                    Number(query.get("wait_ms")),
                );
            case "POST kv-txn":
                return this.#transact(body);
            case "POST kv-lease":
                return this.#grant(body.ttl_ms);
            case "POST kv-keep":
                return this.#renew(Number(id));
            case "DELETE kv-lease-end":
                return this.#endLease(Number(id)) ? { status: 200, answer: {} } : { status: 404 };
            default:
                return { status: 400 };
        }
    }

    #read(key) {
        const item = this.#items.get(key);
        return item === undefined
            ? { status: 404 }
            : { status: 200, answer: { ...item, store_revision: this.#revision } };
    }

    #range(prefix, after) {
        const items = [...this.#items.values()]
            .filter(({ key }) => key.startsWith(prefix) && key > after)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        return {
            status: 200,
            answer: {
                items: items.slice(0, pageItems),
                has_more: items.length > pageItems,
                store_revision: this.#revision,
            },
        };
    }

    async #watch(prefix, after, waitMilliseconds) {
        const find = () => this.#changes.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
        if (find().length === 0) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.#waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, waitMilliseconds);
                this.#waiting.add(wake);
            });
        }
        return { status: 200, answer: { events: find(), store_revision: this.#revision } };
    }

    #transact({ expected = [], writes = [], remove = [] }) {
        const current = key => this.#items.get(key)?.revision ?? 0;
        if (expected.some(({ key, revision }) => current(key) !== revision)) {
            const items = expected.map(({ key }) => this.#items.get(key)).filter(item => item !== undefined);
            return { status: 412, answer: { items } };
        }
        if (writes.some(({ lease }) => lease > 0 && !this.#leases.has(lease))) {
            return { status: 404 };
        }
        if (writes.some(({ key }) => key.startsWith("op/") || key.startsWith("servers/"))) {
            return { status: 403 };
        }
        writes.forEach(({ key, value, lease }) => this.#write(key, value, lease ?? 0));
        remove.forEach(key => this.delete(key));
        return { status: 200, answer: { revision: this.#revision } };
    }

    #grant(ttl) {
        const lease = this.#nextLease++;
        this.#leases.set(lease, { ttl, timer: setTimeout(() => this.#endLease(lease), ttl) });
        return { status: 200, answer: { lease, ttl_ms: ttl } };
    }

    #renew(lease) {
        const held = this.#leases.get(lease);
        if (held === undefined) {
            return { status: 404 };
        }
        clearTimeout(held.timer);
        held.timer = setTimeout(() => this.#endLease(lease), held.ttl);
        return { status: 200, answer: { ttl_ms: held.ttl } };
    }

    #endLease(lease) {
        const held = this.#leases.get(lease);
        if (held === undefined) {
            return false;
        }
        clearTimeout(held.timer);
        this.#leases.delete(lease);
        [...this.#items.values()].filter(item => item.lease === lease).forEach(({ key }) => this.delete(key));
        return true;
    }
}
