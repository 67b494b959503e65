// Stand-ins of replicas: model engines that stream events, and plain services. They register in the store, check the
// replica that a request names, echo its ID, and seal their answers.
import { createServer } from "node:http";
import { freePort } from "./ports.mjs";

export const heartbeatMilliseconds = 1_200;
export const layerCount = 20;

class Replica {
    /** Requests that the replica began to run, in order. */
    runs = [];
    born = Date.now();
    #heartbeat;
    #lease;
    #sequence = 0;
    #sockets = new Set();

    constructor(id, service, zone, store) {
        Object.assign(this, { id, service, zone, store });
    }

    async start() {
        this.port = await freePort();
        this.address = `127.0.0.1:${this.port}`;
        await this.listen();
    }

    async listen() {
        // A caller that leaves in the middle of its request ends the handling of it.
        this.server = createServer((request, response) => this.handle(request, response).catch(() => {}));
        this.server.keepAliveTimeout = 5_000;
        this.server.on("connection", socket => {
            this.#sockets.add(socket);
            socket.on("close", () => this.#sockets.delete(socket));
        });
        await new Promise((resolve, reject) => {
            this.server.on("error", reject);
            this.server.listen(this.port, "127.0.0.1", resolve);
        });
        this.#lease = this.store.grant(3 * heartbeatMilliseconds);
        this.register();
        // A heartbeat changes the entry only if more than its counter has changed.
        this.#heartbeat = setInterval(() => this.store.keep(this.#lease), heartbeatMilliseconds);
    }

    register(changes = {}) {
        this.store.put(`servers/${this.id}`, {
            service: this.service,
            address: this.address,
            zone: this.zone,
            version: "v1",
            state: "ready",
            warmup_left_ms: 0,
            born: this.born,
            seq: ++this.#sequence,
            ...this.entry(),
            ...changes,
        }, this.#lease);
    }

    /** Resets all connections and refuses new ones; the entry in the store lapses. */
    crash() {
        clearInterval(this.#heartbeat);
        this.server.close();
        this.#sockets.forEach(socket => socket.resetAndDestroy());
    }

    /** Stops the heartbeat and removes the entry; the replica goes on serving. */
    leaveRegistry() {
        clearInterval(this.#heartbeat);
        this.store.remove(`servers/${this.id}`);
    }

    stop() {
        clearInterval(this.#heartbeat);
        this.server.close();
        this.#sockets.forEach(socket => socket.destroy());
    }

    async handle(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const body = Buffer.concat(chunks);
        const expected = request.headers["x-expect-replica"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "X-Replica-Id": this.id, "Content-Length": 0 }).end();
        }
        else if (request.method === "GET" && request.url === "/health") {
            response.writeHead(200, { "X-Replica-Id": this.id, "Content-Length": 0 }).end();
        }
        else if (!await this.control(request, body, response)) {
            await this.run(request, body, response);
        }
    }

    async control() {
        return false;
    }

    answerHeaders(request) {
        return { "X-Attempt-Id": request.headers["x-attempt-id"], "X-Replica-Seal": `${this.id}.seal` };
    }
}

/** A plain service: answers after some work, with a body of the length that the site's sheet states. */
export class PlainReplica extends Replica {
    constructor(id, service, zone, store, workMilliseconds) {
        super(id, service, zone, store);
        this.workMilliseconds = workMilliseconds;
    }

    entry() {
        return { slots: 6 };
    }

    async run(request, _body, response) {
        this.runs.push({ id: request.headers["x-attempt-id"], at: Date.now() });
        await delay(this.workMilliseconds);
        const body = Buffer.alloc(800, "x");
        response.writeHead(200, { ...this.answerHeaders(request), "Content-Length": body.length });
        response.end(body);
    }
}

/** A model engine that can hold all layers; it begins empty and takes them by an order. */
export class EngineReplica extends Replica {
    layers;
    orders = 0;
    /** Time before the first event, beside the usual gap. */
    prefillMilliseconds = 0;

    constructor(id, service, zone, store, { events = 40, gapMilliseconds = 25 } = {}) {
        super(id, service, zone, store);
        Object.assign(this, { events, gapMilliseconds });
    }

    entry() {
        return {
            slots: 100,
            stage: "mixed",
            models: [{ name: "m", version: 1, adapters: [] }],
            kind: "large",
            ...(this.layers === undefined ? {} : { layers: { ...this.layers, version: 1 } }),
        };
    }

    async control(request, body, response) {
        if (request.method === "GET" && request.url === "/report") {
            sendJson(response, 200, {
                born: this.born,
                stage: "mixed",
                models: [{ name: "m", version: 1, adapters: [] }],
                busy: false,
                seq: this.orders,
                waiting: 0,
                running: 0,
                kv_used: 0,
                kv_total: 1_000_000,
                handles: 0,
                pace: 1,
                kind: "large",
                ...(this.layers === undefined ? {} : { layers: { ...this.layers, version: 1 } }),
            });
            return true;
        }
        if (request.method !== "POST" || request.url !== "/order") {
            return false;
        }
        const order = JSON.parse(body.toString());
        if (order.op !== "place") {
            sendJson(response, order.op === "repath" ? 404 : 400, {});
        }
        else if (order.expected !== undefined && order.expected !== this.orders) {
            sendJson(response, 409, {});
        }
        else if (order.from === this.layers?.from && order.target === this.layers?.target) {
            sendJson(response, 200, {});
        }
        else {
            this.orders++;
            this.layers = { from: order.from, target: order.target };
            sendJson(response, 202, {});
            this.register();
        }
        return true;
    }

    /** Whether the replica holds the part of the path that is its own; it serves only paths of one part. */
    holds(path) {
        return path === `${this.address}=0-${layerCount}` && this.layers?.from === 0
            && this.layers.target === layerCount;
    }

    async run(request, _body, response) {
        if (!this.holds(request.headers["x-hop-count"])) {
            response.writeHead(421, { "At-Server": this.address, "Content-Length": 0 }).end();
            return;
        }
        this.runs.push({ id: request.headers["x-attempt-id"], at: Date.now() });
        await this.stream(request, response);
    }

    async stream(request, response) {
        const first = Number(request.headers["last-event-id"] ?? -1) + 1;
        await delay(this.prefillMilliseconds);
        for (let id = first; id < this.events && !response.destroyed; id++) {
            await delay(this.gapMilliseconds);
            if (id === first) {
                this.writeHead(request, response);
            }
            response.write(`id: ${id}\ndata: token ${id}\n\n`);
        }
        response.end();
    }

    writeHead(request, response) {
        response.writeHead(200, {
            ...this.answerHeaders(request),
            "Content-Type": "text/event-stream",
            "X-Weight-Versions": 1,
        });
    }
}

export function delay(milliseconds) {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

function sendJson(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    response.end(text);
}
