/** Stand-ins for backend servers: a plain service and a model engine that holds all layers of a small model. */
import { randomBytes } from "node:crypto";
import { createServer } from "node:http";

export const host = "127.0.0.1";
export const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));

export class BackendServer {
    id = `i-${randomBytes(5).toString("hex")}`;
    born = Date.now();
    /** What the server got and did, in order: one entry for each request. */
    runs = [];
    server = createServer((request, response) => void this.handle(request, response));

    constructor(store, { service, zone, slots }) {
        Object.assign(this, { store, service, zone, slots });
    }

    async start() {
        this.server.keepAliveTimeout = 5_000;
        await new Promise(resolve => this.server.listen(0, host, resolve));
        this.address = `${host}:${this.server.address().port}`;
        this.register();
    }

    stop() {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Once for each start: heartbeats change nothing but `seq`, which leaves the entry as it is. */
    register() {
        this.store.put(`servers/${this.id}`, {
            service: this.service,
            address: this.address,
            zone: this.zone,
            version: "v1",
            slots: this.slots,
            state: "ready",
            warmup_left_ms: 0,
            seq: 1,
            born: this.born,
            ...this.entryFields(),
        });
    }

    entryFields() {
        return {};
    }

    async handle(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        if (request.url === "/health") {
            response.writeHead(200, { "X-Replica-Id": this.id, "Content-Length": "0" }).end();
            return;
        }
        if (this.handleControl(request, Buffer.concat(chunks).toString(), response)) {
            return;
        }
        if ((request.headers["x-expect-replica"] ?? this.id) !== this.id) {
            response.writeHead(421, { "X-Replica-Id": this.id, "Content-Length": "0" }).end();
            return;
        }
        const run = {
            id: request.headers["x-attempt-id"],
            server: this.id,
            headers: request.headers,
            beganAt: performance.now(),
            endedAt: undefined,
            end: "running",
        };
        this.runs.push(run);
        const finish = end => {
            run.end = run.endedAt === undefined ? end : run.end;
            run.endedAt ??= performance.now();
        };
        response.on("finish", () => finish("answered"));
        response.on("close", () => finish("connection closed"));
        await this.run(request, response, {
            "X-Attempt-Id": request.headers["x-attempt-id"],
            "X-Replica-Seal": `${this.id}.${request.headers["x-attempt-id"]}`,
        }, run);
    }

    handleControl() {
        return false;
    }
}

/** Answers each request after a fixed time. */
export class AppServer extends BackendServer {
    workMilliseconds = 60;

    async run(_request, response, proof) {
        await sleep(this.workMilliseconds);
        const body = "x".repeat(800);
        response.writeHead(200, { ...proof, "Content-Length": String(body.length) }).end(body);
    }
}

export const layers = 8;

/** Writes an event for each step, from the one after `Last-Event-Id` on. */
export class Engine extends BackendServer {
    firstEventMilliseconds = 60;
    eventMilliseconds = 40;
    events = 40;
    orders = 0;

    entryFields() {
        return {
            stage: "mixed",
            models: [{ name: "m", version: 1, adapters: [] }],
            kind: "l4",
            layers: { from: 0, target: layers, version: 1 },
        };
    }

    handleControl(request, body, response) {
        if (request.url === "/report") {
            const report = {
                ...this.entryFields(),
                born: this.born,
                busy: false,
                seq: this.orders,
                waiting: 0,
                running: this.runs.filter(({ endedAt }) => endedAt === undefined).length,
                kv_used: 0,
                kv_total: 1_000_000,
                handles: 0,
                pace: 1,
                stalled: [],
            };
            response.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(report));
            return true;
        }
        if (request.url === "/order") {
            const order = JSON.parse(body);
            const held = order.op === "place" && order.from === 0 && order.target === layers;
            response.writeHead(held ? 200 : 409, { "Content-Length": "0" }).end();
            return true;
        }
        return false;
    }

    async run(request, response, proof) {
        await sleep(this.firstEventMilliseconds);
        response.writeHead(200, { ...proof, "Content-Type": "text/event-stream", "X-Weight-Versions": "1" });
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let id = first; id <= this.events && !response.destroyed; id++) {
            response.write(`id: ${id}\ndata: token ${id}\n\n`);
            await sleep(this.eventMilliseconds);
        }
        response.end();
    }
}
