/**
 * A stand-in for one model engine, as a process. It holds layers, takes `place` and `repath` orders, and serves streams over a path of
 * engines: with each event it asks the others of the path whether they still run their part. Work that depends on an
 * engine that is gone stalls for `stall_ms`; then it is cut off or, if it has not begun, refused.
 *
 * The last engine of a path returns the token. If the prompt has the part that crashes engines, the one that `crashingStage` names
 * ends as it begins to write. With `poured`, the engine answers with these bytes without end. With `unframed`, its streams have neither a
 * length nor chunks. Tells its parent of its layers and of each request.
 */
import { Agent, createServer, request as sendRequest } from "node:http";

const options = JSON.parse(process.argv[2]);
const { id, host, port, loadMilliseconds, layerCount, stallMilliseconds, eventMilliseconds, events } = options;
const address = `${host}:${port}`;
const born = Date.now();
const agent = new Agent({ keepAlive: true, maxSockets: Infinity });
let layers;
let ordersBegun = 0;
let busy = false;
let running = 0;
/** By request ID: the path of a stream that runs here. */
const paths = new Map();

const tell = message => process.send?.({ id, at: Date.now(), ...message });
const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds));
const holds = (from, to) => layers !== undefined && layers.from <= from && to <= layers.target;

function parsePath(text) {
    return text.split(",").map(part => {
        const [, partAddress, from, to] = /^(.+)=(\d+)-(\d+)$/.exec(part);
        return { address: partAddress, from: Number(from), to: Number(to) };
    });
}

/** Resolves to `ready`, `elsewhere` if the engine does not hold the layers, or `gone`. */
function askStage(part, prompt) {
    return new Promise(resolve => {
        const [stageHost, stagePort] = part.address.split(":");
        const sent = sendRequest({
            agent,
            host: stageHost,
            port: stagePort,
            path: `/stage?from=${part.from}&to=${part.to}&last=${part.isLast}`,
            headers: { "X-Prompt-Prefix": prompt },
        }, response => {
            response.resume();
            response.on("end", () => resolve(response.statusCode === 200 ? "ready" : "elsewhere"));
            response.on("error", () => resolve("gone"));
        });
        sent.on("error", () => resolve("gone"));
        sent.setTimeout(stallMilliseconds, () => sent.destroy());
        sent.end();
    });
}

function crashIfStruck(prompt, isFirst, isLast) {
    const struck = (prompt ?? "").split(",").some(part => part.split(":")[0] === options.crashingPart);
    const { crashingStage } = options;
    if (struck && (crashingStage === "all" || (crashingStage === "last" ? isLast : isFirst))) {
        tell({ kind: "crash" });
        // A process that ends resets the connections on which it has not read everything.
        setTimeout(() => process.exit(1), 5);
        return true;
    }
    return false;
}

/** Sends the same bytes without end, as fast as the connection takes them, until it is closed. */
function pour(requestId, response, isOpen) {
    tell({ kind: "poured", requestId });
    response.writeHead(200, {
        "Content-Type": "text/event-stream",
        "X-Attempt-Id": requestId,
        "X-Replica-Seal": `seal-${id}`,
    });
    const block = Buffer.from(options.poured.repeat(Math.ceil(16_384 / options.poured.length)));
    const send = () => {
        while (isOpen() && response.write(block)) {
            // The connection takes more.
        }
    };
    response.on("drain", send);
    send();
}

async function serveStream(request, response) {
    const requestId = request.headers["x-attempt-id"];
    const prompt = request.headers["x-prompt-prefix"] ?? "";
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    tell({ kind: "arrived", requestId, prompt, first });
    const refuse = (status, at) => {
        tell({ kind: "refused", requestId, status, at });
        response.writeHead(status, status === 503 ? { "X-Not-Executed": "1", "At-Server": at } : { "At-Server": at });
        response.end();
    };
    const path = parsePath(request.headers["x-hop-count"] ?? `${address}=0-${layerCount}`);
    if (path[0].address !== address || new Set(path.map(part => part.address)).size < path.length) {
        response.writeHead(400).end();
        return;
    }
    if (!holds(path[0].from, path[0].to)) {
        refuse(421, address);
        return;
    }
    let open = true;
    response.on("close", () => {
        open = false;
        paths.delete(requestId);
        running--;
    });
    running++;
    paths.set(requestId, path);
    await pause(30);
    if (options.poured !== undefined) {
        pour(requestId, response, () => open);
        return;
    }
    for (let event = first; event <= events && open; event++) {
        const stalledAt = Date.now();
        let states;
        let current;
        do {
            current = paths.get(requestId) ?? path;
            const others = current.slice(1).map((part, index) => ({ ...part, isLast: index === current.length - 2 }));
            states = await Promise.all(others.map(part => askStage(part, prompt)));
            if (states.includes("gone")) {
                await pause(50);
            }
        }
        while (open && states.includes("gone") && Date.now() - stalledAt < stallMilliseconds);
        if (!open) {
            break;
        }
        const failed = states.findIndex(state => state !== "ready");
        if (failed !== -1) {
            if (response.headersSent) {
                tell({ kind: "cut", requestId });
                response.destroy();
            }
            else {
                refuse(states[failed] === "gone" ? 503 : 421, current[failed + 1].address);
            }
            return;
        }
        if (crashIfStruck(prompt, true, current.length === 1)) {
            return;
        }
        if (!response.headersSent) {
            tell({ kind: "began", requestId });
            if (options.unframed) {
                response.useChunkedEncodingByDefault = false;
                response.shouldKeepAlive = false;
            }
            response.writeHead(200, {
                "Content-Type": "text/event-stream",
                "X-Attempt-Id": requestId,
                "X-Replica-Seal": `seal-${id}`,
            });
        }
        response.write(`id: ${event}\ndata: word ${event}\n\n`);
        await pause(eventMilliseconds);
    }
    if (open) {
        tell({ kind: "done", requestId });
        response.end();
    }
}

async function place({ from, target, expected }, response) {
    if (expected !== undefined && expected !== ordersBegun || busy) {
        response.writeHead(409).end();
        return;
    }
    if (layers?.from === from && layers.target === target) {
        response.writeHead(200).end();
        return;
    }
    if (target - from > options.maximumLayers) {
        tell({ kind: "overfull", layers: target - from });
        process.exit(1);
    }
    ordersBegun++;
    busy = true;
    response.writeHead(202).end();
    const kept = layers === undefined ? 0 : Math.max(0, Math.min(layers.target, target) - Math.max(layers.from, from));
    await pause(loadMilliseconds * (target - from - kept) / layerCount);
    layers = { from, target };
    busy = false;
    tell({ kind: "layers", layers });
}

function repath({ id: requestId, path }, response) {
    if (!paths.has(requestId)) {
        response.writeHead(404).end();
        return;
    }
    paths.set(requestId, parsePath(path));
    response.writeHead(202).end();
}

async function handle(request, response) {
    const url = new URL(request.url, "http://engine");
    let body = "";
    for await (const chunk of request) {
        body += chunk;
    }
    if (url.pathname === "/stage") {
        const isLast = url.searchParams.get("last") === "true";
        if (crashIfStruck(request.headers["x-prompt-prefix"], false, isLast)) {
            return;
        }
        const ready = holds(Number(url.searchParams.get("from")), Number(url.searchParams.get("to")));
        response.writeHead(ready ? 200 : 421).end();
        return;
    }
    const expected = request.headers["x-expect-replica"];
    if (expected !== undefined && expected !== id) {
        response.writeHead(421, { "X-Replica-Id": id, "At-Server": address }).end();
        return;
    }
    if (url.pathname === "/health") {
        response.writeHead(200, { "X-Replica-Id": id }).end();
    }
    else if (url.pathname === "/report") {
        const report = {
            born,
            busy,
            seq: ordersBegun,
            running,
            waiting: 0,
            kv_used: 0,
            kv_total: 1e6,
            pace: 1,
            layers,
        };
        response.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(report));
    }
    else if (url.pathname === "/order") {
        const order = JSON.parse(body);
        tell({ kind: "order", order });
        await (order.op === "place" ? place(order, response) : repath(order, response));
    }
    else {
        await serveStream(request, response);
    }
}

createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
}).listen(port, host, options.backlog, () => tell({ kind: "started", born }));
process.on("message", changes => Object.assign(options, changes));
process.on("disconnect", () => process.exit(0));
