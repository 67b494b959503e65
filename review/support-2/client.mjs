/** Clients of the router: one request on a new connection, with what the client saw of the answer. */
import { randomBytes } from "node:crypto";
import { request } from "node:http";
import { callerHost, key, paths } from "./configuration.mjs";

export const kinds = {
    stream: { method: "POST", path: paths.stream, deadline: 20_001, body: "prompt" },
    book: { method: "POST", path: paths.book, deadline: 1_500, body: "booking" },
    look: { method: "GET", path: paths.look, deadline: 1_500, body: undefined },
};

export function newId() {
    return randomBytes(8).toString("hex");
}

/** Resolves once the answer is complete, or the connection has ended without one. Times are in ms since the process began. */
export function send(router, kind, changes = {}) {
    const { method, path, deadline, body } = kinds[kind];
    const id = newId();
    const result = {
        id,
        kind,
        router: router.name,
        sentAt: performance.now(),
        status: undefined,
        complete: false,
        text: "",
    };
    return new Promise(resolve => {
        const finish = error => {
            result.error ??= error;
            result.endedAt ??= performance.now();
            resolve(result);
        };
        const sent = request({
            ...router.front,
            method,
            path,
            agent: false,
            headers: {
                "Host": callerHost,
                "Authorization": `Bearer ${key}`,
                "X-Attempt-Id": id,
                "X-Deadline-Ms": String(deadline),
                ...(kind === "stream" ? { "X-Model": "m", "X-Token-Counts": "760,160" } : {}),
                ...changes,
            },
        }, response => {
            result.status = response.statusCode;
            result.seal = response.headers["x-replica-seal"];
            response.on("data", chunk => result.text += chunk);
            response.on("error", error => finish(error.code));
            response.on("close", () => {
                result.complete = response.complete;
                finish();
            });
        });
        sent.on("error", error => finish(error.code));
        sent.end(body);
    });
}

/** Starts `perSecond` requests a second of a kind for the time; resolves to all results. */
export async function sendSteadily(routerOf, kind, perSecond, milliseconds, changes = () => ({})) {
    const results = [];
    const began = performance.now();
    for (let count = 0; performance.now() < began + milliseconds; count++) {
        results.push(send(routerOf(), kind, changes()));
        await new Promise(resolve => setTimeout(resolve, began + (count + 1) * 1_000 / perSecond - performance.now()));
    }
    return Promise.all(results);
}

export function countBy(values, name) {
    const counts = {};
    values.map(name).forEach(value => counts[value] = (counts[value] ?? 0) + 1);
    return counts;
}
