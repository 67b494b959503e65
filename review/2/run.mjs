// BUDGET: one part of a prompt crashes each replica that begins to write an answer on it, before the first byte is sent.
// CRASH=head: the replica has sent the head of its answer before. CRASH=events: it has sent the head and three events.
import { writeFileSync } from "node:fs";
import { Client } from "../support/client.mjs";
import { bounds, CannotRunError, configuration, startRouters, waitUntil } from "../support/deployment.mjs";
import { delay, EngineReplica, PlainReplica } from "../support/replicas.mjs";
import { Store } from "../support/store.mjs";

const trouble = process.env.TROUBLE !== "0";
const sendsHead = process.env.CRASH === "head" || process.env.CRASH === "events";
const eventsBeforeCrash = process.env.CRASH === "events" ? 3 : 0;
const defectivePart = "bad0";
const engineCount = 8;
const awayMilliseconds = 3_000;
const prefillMilliseconds = 60;
const defectiveIntervalMilliseconds = 1_500;
const soundClients = 3;
const playedMilliseconds = 30_000;
/** What the rule allows later than `contact_ms` after the fifth crash. */
const allowedArrivals = 3;

const store = new Store();
/** Requests with the defective part that reached a replica, in order. */
const arrivals = [];
const crashes = [];

/** Restarts empty, under a new ID and at the same address, some seconds after each crash. */
class CrashingEngine extends EngineReplica {
    #starts = 1;

    async stream(request, response) {
        const parts = request.headers["x-prompt-prefix"].split(",").map(part => part.split(":")[0]);
        const defective = parts.slice(0, -1).includes(defectivePart);
        if (defective) {
            arrivals.push({ at: Date.now(), id: request.headers["x-attempt-id"], replica: this.id });
        }
        await delay(prefillMilliseconds);
        if (response.destroyed) {
            return;
        }
        if (!defective || !trouble) {
            await super.stream(request, response);
            return;
        }
        if (sendsHead) {
            this.writeHead(request, response);
            response.flushHeaders();
            await delay(5);
        }
        const first = Number(request.headers["last-event-id"] ?? -1) + 1;
        for (let id = first; id < first + eventsBeforeCrash; id++) {
            response.write(`id: ${id}\ndata: token ${id}\n\n`);
            await delay(this.gapMilliseconds);
        }
        crashes.push({ at: Date.now(), replica: this.id });
        this.crash();
        setTimeout(() => void this.restart(), awayMilliseconds);
    }

    async restart() {
        this.id = `${this.id.split(".")[0]}.${++this.#starts}`;
        this.born = Date.now();
        this.layers = undefined;
        this.orders = 0;
        await this.listen();
    }
}

const engines = [];
const replicas = [];
const clients = [];
let routers = [];
const results = [];
const lines = [];
/** Output of the routers, if the case could not run. */
const logs = [];
let code = 2;
try {
    const storePort = await store.start();
    for (let number = 1; number <= engineCount; number++) {
        engines.push(new CrashingEngine(`engine-${number}`, "pool", `zone-${number % 2 + 1}`, store));
    }
    replicas.push(...engines, new PlainReplica("app-1", "app", "zone-1", store, 20));
    for (const replica of replicas) {
        await replica.start();
    }
    store.put("op/config", configuration(7));
    routers = await startRouters(2, storePort);
    for (const router of routers) {
        await waitUntil(() => router.isReady(), `readiness of ${router.name}`);
    }
    await delay(1_000);
    let running = true;
    let requests = 0;
    const send = async (client, router, part) => {
        const number = ++requests;
        const result = await client.send(router, "POST", "/grade/load", {
            body: `prompt ${number}`,
            deadlineMilliseconds: 20_000,
            headers: {
                "X-Model": "m",
                "X-Token-Counts": "800,80",
                "X-Prompt-Prefix": `a${number % 4}:40,${part}:60,f${number.toString(16)}:700`,
            },
        });
        results.push({ ...result, part });
        return result;
    };
    const loops = routers.flatMap(router =>
        Array.from({ length: soundClients }, async () => {
            const client = new Client();
            clients.push(client);
            while (running) {
                const { status } = await send(client, router, `c${requests % 3}`);
                await delay(status === 200 ? 20 : 300);
            }
        })
    );
    const defective = [];
    const end = Date.now() + playedMilliseconds;
    for (let turn = 0; Date.now() < end; turn++) {
        const client = new Client();
        clients.push(client);
        defective.push(send(client, routers[turn % 2], defectivePart));
        await delay(defectiveIntervalMilliseconds);
    }
    running = false;
    await Promise.all([...loops, ...defective]);

    const sound = results.filter(({ part }) => part !== defectivePart);
    const served = sound.filter(({ status, complete }) => status === 200 && complete).length;
    lines.push(`sound streams: ${sound.length} sent, ${served} served whole`);
    lines.push(`streams with the defective part: ${defective.length} sent, ${arrivals.length} arrivals at replicas, `
        + `${results.filter(({ part, status }) => part === defectivePart && status === 503).length} refused with 503`);
    const fifth = crashes[4]?.at;
    const late = arrivals.filter(({ at }) => fifth !== undefined && at > fifth + bounds.contact_ms);
    lines.push(`crashes: ${crashes.length}; arrivals later than contact_ms after the fifth: ${late.length}`);
    if (served < 50 || arrivals.length < 3) {
        throw new CannotRunError("too little traffic was served");
    }
    code = late.length > allowedArrivals ? 1 : 0;
}
catch (error) {
    lines.push(`could not run: ${error.stack}`);
    logs.push(...routers.map(router => router.output.slice(-4_000)));
}
finally {
    clients.forEach(client => client.stop());
    await Promise.all(routers.map(router => router.stop()));
    replicas.forEach(replica => replica.stop());
    store.stop();
    lines.push(`exit ${code}`);
    const log = results.map(({ id, router, part, status, complete, error, sentAt, endedAt }) =>
        [id, router, part, status ?? "-", complete ? "whole" : "cut", error ?? "", sentAt, endedAt].join(" ")
    );
    const events = [
        ...arrivals.map(({ at, id, replica }) => ({ at, text: `${replica} got defective ${id}` })),
        ...crashes.map(({ at, replica }) => ({ at, text: `${replica} crashed` })),
    ].sort((left, right) => left.at - right.at).map(({ at, text }) => `${at} ${text}`);
    const runs = replicas.flatMap(({ id, runs: own }) => own.map(run => `${run.at} ${id} ran ${run.id}`));
    writeFileSync(
        "record.txt",
        [...lines, "", "arrivals and crashes:", ...events, "", "requests:", ...log, "", "runs:", ...runs, "", ...logs].join("\n"),
    );
    console.log(lines.join("\n"));
    process.exit(code);
}
