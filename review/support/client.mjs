// A client of the routers. Each connection carries one request at a time and is kept for the next one.
import { randomBytes } from "node:crypto";
import { Agent, request as sendRequest } from "node:http";
import { host, key } from "./deployment.mjs";

export class Client {
    #agent = new Agent({ keepAlive: true, maxSockets: 1 });

    /**
     * Resolves, however the request ends: `status` and `complete` if there was an answer, `error` otherwise. `reused` tells
     * whether the connection had carried a request before.
     */
    send(router, method, path, { headers = {}, body, deadlineMilliseconds = 2_500 } = {}) {
        const id = randomBytes(8).toString("hex");
        const result = { id, router: router.name, method, path, sentAt: Date.now(), reused: false, text: "" };
        return new Promise(resolve => {
            const finish = outcome => {
                clearTimeout(timer);
                resolve(Object.assign(result, outcome, { endedAt: Date.now() }));
            };
            const request = sendRequest({
                agent: this.#agent,
                host: "127.0.0.1",
                port: router.callerPort,
                method,
                path,
                headers: {
                    "Host": host,
                    "X-Attempt-Id": id,
                    "X-Deadline-Ms": String(deadlineMilliseconds),
                    "Authorization": `Bearer ${key}`,
                    ...(body === undefined ? {} : { "Content-Length": String(Buffer.byteLength(body)) }),
                    ...headers,
                },
            });
            const timer = setTimeout(() => request.destroy(new Error("client's time limit")), deadlineMilliseconds);
            request.on("socket", () => {
                result.reused = request.reusedSocket;
            });
            request.on("error", error => finish({ error: error.code ?? error.message, complete: false }));
            request.on("response", response => {
                result.status = response.statusCode;
                result.headers = response.headers;
                response.on("data", chunk => {
                    result.text += chunk.toString("latin1");
                });
                response.on("error", error => finish({ error: error.code ?? error.message, complete: false }));
                response.on("end", () => finish({ complete: response.complete }));
            });
            request.end(body);
        });
    }

    stop() {
        this.#agent.destroy();
    }
}
