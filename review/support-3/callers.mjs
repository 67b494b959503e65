/** Callers of a deployment: one request at a time on a kept connection, as the platform's clients send them. */
import { Agent, request } from "node:http";

let requests = 0;

/** As many callers for each of the routers. */
export const callersOf = (routers, count) =>
    routers.flatMap(router => Array.from({ length: count }, () => new Caller(router)));

export class Caller {
    #agent = new Agent({ keepAlive: true, maxSockets: 1 });

    constructor(router) {
        this.router = router;
    }

    /** Resolves to the request's ID, its times, the status (0 without a complete answer) and the answer's body and headers. */
    send(method, path, headers, body) {
        const id = `q${requests++}`;
        const sentAt = performance.now();
        return new Promise(resolve => {
            const finish = (status, text = "", answerHeaders = {}) =>
                resolve({ id, sentAt, endedAt: performance.now(), status, body: text, headers: answerHeaders });
            const { host, port } = this.router.callers;
            const sent = request({
                agent: this.#agent,
                host,
                port,
                method,
                path,
                headers: { "Host": "yard.example", "Authorization": "Bearer key-1", "X-Attempt-Id": id, ...headers },
            }, response => {
                let text = "";
                response.on("data", chunk => {
                    text += chunk;
                });
                response.on("error", () => finish(0, text, response.headers));
                response.on("end", () => finish(response.complete ? response.statusCode : 0, text, response.headers));
            });
            sent.on("error", () => finish(0));
            sent.end(body);
        });
    }

    stop() {
        this.#agent.destroy();
    }
}
