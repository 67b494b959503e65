/** A stand-in for one replica of a plain service. Keeps its own list of the requests that it has run. */
import { createServer } from "node:http";
import { nextHost } from "./deployment.mjs";

export class Replica {
    /** Time that a request takes. */
    workMilliseconds = 60;
    /** Says so in all answers. */
    isLeaving = false;
    /** Of the requests that have been run: ID, time of arrival and whether it was answered. */
    ran = [];
    born = Date.now();

    constructor(id, service, zone) {
        Object.assign(this, { id, service, zone, host: nextHost() });
        this.server = createServer((request, response) => {
            this.handle(request, response).catch(() => response.destroy());
        });
    }

    async start() {
        await new Promise(resolve => this.server.listen(0, this.host, resolve));
        this.port = this.server.address().port;
    }

    get address() {
        return `${this.host}:${this.port}`;
    }

    entry(changes = {}) {
        const { service, address, zone, born } = this;
        return {
            service,
            address,
            zone,
            version: "v1",
            slots: 6,
            state: "ready",
            warmup_left_ms: 0,
            seq: 1,
            born,
            ...changes,
        };
    }

    /** Ends at once, with what it is working on. */
    stop() {
        this.server.close();
        this.server.closeAllConnections();
    }

    async handle(request, response) {
        for await (const _chunk of request) {
            // The body doesn't matter here.
        }
        if (this.isLeaving) {
            response.setHeader("Server-Leaving", "1");
        }
        const { "x-expect-replica": expected, "x-attempt-id": requestId } = request.headers;
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "X-Replica-Id": this.id }).end();
            return;
        }
        if (request.url === "/health") {
            response.writeHead(this.isLeaving ? 503 : 200, { "X-Replica-Id": this.id }).end();
            return;
        }
        const run = { requestId, at: performance.now(), url: request.url, answered: false };
        this.ran.push(run);
        await new Promise(resolve => setTimeout(resolve, this.workMilliseconds));
        response.writeHead(200, { "X-Attempt-Id": requestId, "X-Replica-Seal": `seal-${this.id}` });
        response.end(`answer of ${this.id} to ${requestId}`, () => {
            run.answered = true;
        });
    }
}
